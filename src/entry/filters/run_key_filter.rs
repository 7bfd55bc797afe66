//! Reads the idempotency key of non-idempotent calls.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::RequestDraft;
use crate::prelude::*;

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Refuses non-idempotent calls without a valid key. The key of other calls is ignored.
pub struct RunKeyFilter;

impl RequestFilter for RunKeyFilter {
    fn apply(
        &self,
        _context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        let is_idempotent = draft.kind.as_ref().is_none_or(|kind| kind.is_idempotent);
        if is_idempotent {
            return Ok(());
        }
        if !draft.headers.contains_key(KEY_HEADER) {
            return Err(RequestRefusal::not_run(RefusalReason::MissingKey));
        }
        let key = draft.header(KEY_HEADER).map(str::trim).map(str::to_owned);
        let valid_key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
        let malformed = RequestRefusal::not_run(RefusalReason::MalformedHeader);
        draft.run_key = Some(valid_key.ok_or(malformed)?);
        Ok(())
    }
}
