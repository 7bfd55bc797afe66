//! Determines the kind of work and its rank.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::{CallerRoute, RequestDraft};
use crate::prelude::*;
use crate::settings::WorkTarget;

/// Header that names the kind of work.
const KIND_HEADER: &str = "x-work-kind";

/// Refuses unknown kinds, and kinds whose target differs from the route. Chat without a kind
/// has the least urgent rank; calls to plain services always need a kind.
pub struct KindFilter;

impl RequestFilter for KindFilter {
    fn apply(
        &self,
        _context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        let refusal = RequestRefusal::not_run(RefusalReason::UnknownKind);
        let Some(name) = draft.header(KIND_HEADER) else {
            return apply_default_rank(draft).ok_or(refusal);
        };
        let name = KindName::from(name);
        let team = draft.fleet.teams.get(&draft.team).ok_or(refusal)?;
        let kind = team.kinds.get(&name).ok_or(refusal)?.clone();
        let is_route_target = match (&kind.target, &draft.route) {
            (WorkTarget::Engine, CallerRoute::Chat) => true,
            (WorkTarget::Service(own), CallerRoute::Service(requested, _)) => own == requested,
            _ => false,
        };
        if !is_route_target {
            return Err(refusal);
        }
        draft.rank = kind.rank.clone();
        draft.kind = Some(kind);
        Ok(())
    }
}

fn apply_default_rank(draft: &mut RequestDraft) -> Option<()> {
    if draft.route != CallerRoute::Chat {
        return None;
    }
    let (rank, _) = draft.fleet.ranks_by_order().pop()?;
    let rank = rank.clone();
    draft.rank = rank;
    Some(())
}
