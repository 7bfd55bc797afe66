//! Models that each engine can serve, as seen by this process.

use std::cmp::Ordering;
use std::collections::HashMap;

use slotmap::SecondaryMap;

use crate::fleet::{ModelNeed, UpstreamEntry, UpstreamKey, UpstreamRoster};
use crate::orders::PlacementUpdate;
use crate::prelude::*;

/// Milliseconds for which an engine's report of a missing model overrides other sources.
const MISSING_TTL_MS: u64 = 400;

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownHoldings {
    is_from_planner: bool,
    models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// Merges the platform's upstream list with the planner's changes, which take precedence while the
/// planner is connected.
#[derive(Debug, Default)]
pub struct PlacementView {
    known: SecondaryMap<UpstreamKey, KnownHoldings>,
    missing: HashMap<(UpstreamKey, ModelNeed), MonoTime>,
}

impl PlacementView {
    /// Creates an empty view.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Applies the upstream list to engines that the planner has not reported.
    pub fn apply_roster(&mut self, roster: &UpstreamRoster) {
        self.known.retain(|key, _| roster.get(key).is_some());
        for (key, entry) in roster.iter() {
            let is_list_used = self
                .known
                .get(key)
                .is_none_or(|known| !known.is_from_planner);
            if is_list_used {
                self.known.insert(key, holdings_of_entry(entry));
            }
        }
    }

    /// Applies changes from the planner; ignores those of an earlier start of an engine. A start that
    /// the list does not name yet is not used: only the list tells its software version.
    pub fn apply_changes(&mut self, roster: &UpstreamRoster, update: &PlacementUpdate) {
        for holdings in &update.holdings {
            let Some(key) = roster.key_of(&holdings.id) else {
                continue;
            };
            let listed_at_ms = roster.get(key).map(|entry| entry.started_at_ms);
            let models = match listed_at_ms.cmp(&Some(holdings.started_at_ms)) {
                Ordering::Less => Vec::new(),
                Ordering::Equal => holdings.models.clone(),
                Ordering::Greater => continue,
            };
            self.missing.retain(|(upstream, _), _| *upstream != key);
            let known = KnownHoldings {
                is_from_planner: true,
                models,
            };
            self.known.insert(key, known);
        }
    }

    /// Falls back to the upstream list after the planner was lost.
    pub fn forget_planner(&mut self, roster: &UpstreamRoster) {
        for known in self.known.values_mut() {
            known.is_from_planner = false;
        }
        self.apply_roster(roster);
    }

    /// Records an engine's report that it cannot serve a need.
    pub fn record_missing(&mut self, now: MonoTime, key: UpstreamKey, need: &ModelNeed) {
        self.missing.retain(|_, until| now < *until);
        self.missing
            .insert((key, need.clone()), now + MISSING_TTL_MS);
    }

    /// Whether the engine has the needed model and adapter loaded.
    #[must_use]
    pub fn can_serve(&self, now: MonoTime, key: UpstreamKey, need: &ModelNeed) -> bool {
        let is_missing = !self.missing.is_empty()
            && self
                .missing
                .get(&(key, need.clone()))
                .is_some_and(|until| now < *until);
        if is_missing {
            return false;
        }
        let Some(known) = self.known.get(key) else {
            return false;
        };
        known.models.iter().any(|(model, adapters)| {
            *model == need.model
                && need
                    .adapter
                    .as_ref()
                    .is_none_or(|adapter| adapters.contains(adapter))
        })
    }
}

fn holdings_of_entry(entry: &UpstreamEntry) -> KnownHoldings {
    let models = entry.models.iter();
    KnownHoldings {
        is_from_planner: false,
        models: models
            .map(|held| (held.model.clone(), held.adapters.clone()))
            .collect(),
    }
}
