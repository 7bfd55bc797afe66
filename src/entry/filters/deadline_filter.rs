//! Determines the deadline of a request.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::RequestDraft;
use crate::prelude::*;

/// Header with the caller's deadline, in milliseconds after arrival.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Maximum deadline in milliseconds; also the default where neither kind nor rank gives one.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Sets the deadline to the caller's, else to that of the kind, else to that of the rank.
pub struct DeadlineFilter;

impl RequestFilter for DeadlineFilter {
    fn apply(
        &self,
        _context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        let given_ms = match draft.headers.get(DEADLINE_HEADER) {
            Some(_) => Some(given_deadline(draft)?),
            None => None,
        };
        let kind_ms = draft.kind.as_ref().and_then(|kind| kind.deadline_ms);
        let rank_ms = draft.fleet.ranks.get(&draft.rank).map(|r| r.deadline_ms);
        let deadline_ms = given_ms.or(kind_ms).or(rank_ms).unwrap_or(MAX_DEADLINE_MS);
        draft.deadline = draft.arrived_at + deadline_ms;
        Ok(())
    }
}

fn given_deadline(draft: &RequestDraft) -> Result<u64, RequestRefusal> {
    let parsed = draft.header(DEADLINE_HEADER).and_then(|t| t.parse().ok());
    let in_range = parsed.filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
    in_range.ok_or(RequestRefusal::not_run(RefusalReason::MalformedHeader))
}
