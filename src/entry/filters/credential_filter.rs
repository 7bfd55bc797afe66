//! Authenticates the caller's team by its credential.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::RequestDraft;
use crate::prelude::*;

/// Refuses callers without a valid team credential.
pub struct CredentialFilter;

impl RequestFilter for CredentialFilter {
    fn apply(
        &self,
        _context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        let refusal = RequestRefusal::not_run(RefusalReason::WrongCredential);
        let header = draft.header("authorization");
        let token = header.and_then(|text| text.strip_prefix("Bearer "));
        let token = token.ok_or(refusal)?;
        let team = draft.fleet.team_of(token).ok_or(refusal)?;
        draft.team = team.clone();
        Ok(())
    }
}
