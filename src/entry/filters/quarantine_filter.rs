//! Holds back requests that crash upstreams.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::RequestDraft;
use crate::prelude::*;
use crate::quarantine::{QuarantineVerdict, RequestFingerprint};

/// Refuses requests seen at two crashes, and marks those seen at one.
pub struct QuarantineFilter;

impl RequestFilter for QuarantineFilter {
    fn apply(
        &self,
        context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        draft.fingerprint = RequestFingerprint::of(&draft.team, &draft.body);
        match context.judge(draft.fingerprint) {
            QuarantineVerdict::HeldBack => Err(RequestRefusal::not_run(RefusalReason::Quarantined)),
            QuarantineVerdict::Suspect => {
                draft.is_suspect = true;
                Ok(())
            }
            QuarantineVerdict::Clear => Ok(()),
        }
    }
}
