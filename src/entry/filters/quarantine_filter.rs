//! Refuses quarantined requests.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::RequestDraft;
use crate::prelude::*;
use crate::quarantine::{QuarantineVerdict, RequestFingerprint};

/// Refuses requests that were in flight at two engine crashes, and marks those that were in
/// flight at one as suspects.
pub struct QuarantineFilter;

impl RequestFilter for QuarantineFilter {
    fn apply(
        &self,
        context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        draft.fingerprint = RequestFingerprint::of(&draft.team, &draft.body);
        match context.quarantine_verdict(draft.fingerprint) {
            QuarantineVerdict::Quarantined => {
                Err(RequestRefusal::not_run(RefusalReason::Quarantined))
            }
            QuarantineVerdict::Suspect => {
                draft.is_suspect = true;
                Ok(())
            }
            QuarantineVerdict::Clear => Ok(()),
        }
    }
}
