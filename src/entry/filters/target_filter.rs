//! Determines the target of a request: model, version and adapter, or the plain service.

use super::RequestFilter;
use crate::entry::entry_context::EntryContext;
use crate::entry::request_draft::{CallerRoute, RequestDraft};
use crate::memory::AdapterUnit;
use crate::prelude::*;
use crate::rpc::{ChatParams, UpstreamCall};

/// Refuses bodies that cannot be parsed, and models and adapters that the team may not call.
pub struct TargetFilter;

impl RequestFilter for TargetFilter {
    fn apply(
        &self,
        _context: &EntryContext,
        draft: &mut RequestDraft,
    ) -> Result<(), RequestRefusal> {
        let call = match draft.route.clone() {
            CallerRoute::Service(service, path) => UpstreamCall::Service {
                service,
                method: draft.method.to_string(),
                path,
            },
            CallerRoute::Chat => {
                let chat: ChatParams = serde_json::from_slice(&draft.body)
                    .map_err(|_| RequestRefusal::not_run(RefusalReason::MalformedBody))?;
                let call = engine_call(draft, &chat)
                    .ok_or(RequestRefusal::not_run(RefusalReason::UnknownModel))?;
                draft.is_version_fixed = chat.model.contains('@');
                draft.chat = Some(chat);
                call
            }
        };
        draft.call = Some(call);
        Ok(())
    }
}

fn engine_call(draft: &RequestDraft, chat: &ChatParams) -> Option<UpstreamCall> {
    let (name, version) = split_version(&chat.model)?;
    let model_name = ModelName::from(name);
    let model = draft.fleet.models.get(&model_name)?;
    if !model.teams.is_empty() && !model.teams.contains(&draft.team) {
        return None;
    }
    let replica = ReplicaName::of(&model_name, version.unwrap_or(model.version));
    let adapter = match &chat.adapter {
        Some(text) => Some(adapter_unit(draft, text, &model_name, &replica)?),
        None => None,
    };
    Some(UpstreamCall::Engine { replica, adapter })
}

fn adapter_unit(
    draft: &RequestDraft,
    text: &str,
    model: &ModelName,
    replica: &ReplicaName,
) -> Option<(AdapterUnit, u64)> {
    let (name, version) = split_version(text)?;
    let adapter = AdapterName::from(name);
    let settings = draft.fleet.teams.get(&draft.team)?.adapters.get(&adapter)?;
    if settings.model != *model {
        return None;
    }
    let unit = AdapterUnit {
        team: draft.team.clone(),
        adapter,
        version: version.unwrap_or(settings.version),
        replica: replica.clone(),
    };
    Some((unit, settings.memory_mb))
}

/// Splits `name` or `name@version`; `None` if the version is not a number.
fn split_version(text: &str) -> Option<(&str, Option<u32>)> {
    match text.split_once('@') {
        None => Some((text, None)),
        Some((name, version)) => Some((name, Some(version.parse().ok()?))),
    }
}
