//! The chain of filters that each request passes before it is routed.

mod credential_filter;
mod deadline_filter;
mod kind_filter;
mod quarantine_filter;
mod run_key_filter;
mod target_filter;

use super::entry_context::EntryContext;
use super::request_draft::RequestDraft;
use crate::prelude::*;

use credential_filter::CredentialFilter;
use deadline_filter::DeadlineFilter;
use kind_filter::KindFilter;
use quarantine_filter::QuarantineFilter;
use run_key_filter::RunKeyFilter;
use target_filter::TargetFilter;

/// One filter of the chain.
pub trait RequestFilter {
    /// Fills in the draft or refuses the request; a refusal here is always `not_run`.
    ///
    /// # Errors
    /// The refusal to send to the caller.
    fn apply(&self, context: &EntryContext, draft: &mut RequestDraft)
    -> Result<(), RequestRefusal>;
}

/// Filters that need only the head; they run before any of the body is read.
const HEAD_FILTERS: [&dyn RequestFilter; 4] = [
    &CredentialFilter,
    &KindFilter,
    &DeadlineFilter,
    &RunKeyFilter,
];

/// Filters that need the body.
const BODY_FILTERS: [&dyn RequestFilter; 2] = [&TargetFilter, &QuarantineFilter];

/// Applies the head filters in order.
///
/// # Errors
/// The first refusal.
pub fn filter_head(context: &EntryContext, draft: &mut RequestDraft) -> Result<(), RequestRefusal> {
    apply_all(&HEAD_FILTERS, context, draft)
}

/// Applies the body filters in order.
///
/// # Errors
/// The first refusal.
pub fn filter_body(context: &EntryContext, draft: &mut RequestDraft) -> Result<(), RequestRefusal> {
    apply_all(&BODY_FILTERS, context, draft)
}

fn apply_all(
    filters: &[&dyn RequestFilter],
    context: &EntryContext,
    draft: &mut RequestDraft,
) -> Result<(), RequestRefusal> {
    filters
        .iter()
        .try_for_each(|filter| filter.apply(context, draft))
}
