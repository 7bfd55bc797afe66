//! Which engine can serve which model, as this process sees it.

use std::collections::HashMap;

use slotmap::SecondaryMap;

use crate::fleet::{ModelNeed, UpstreamEntry, UpstreamKey, UpstreamRoster};
use crate::orders::PlacementUpdate;
use crate::prelude::*;

/// Milliseconds for which an engine's own word that it lacks a model goes before other news.
const MISSING_MS: u64 = 400;

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownHoldings {
    is_from_planner: bool,
    models: Vec<(ModelName, Vec<AdapterName>)>,
}

/// Joins the platform's list with the planner's news, which go first while they come.
#[derive(Debug, Default)]
pub struct PlacementView {
    known: SecondaryMap<UpstreamKey, KnownHoldings>,
    missing: HashMap<(UpstreamKey, ModelNeed), MonoTime>,
}

impl PlacementView {
    /// Opens a view that knows nothing.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Takes all entries of the list.
    pub fn take_roster(&mut self, roster: &UpstreamRoster) {
        self.known.retain(|key, _| roster.get(key).is_some());
        for (key, entry) in roster.iter() {
            let is_news = self
                .known
                .get(key)
                .is_none_or(|known| !known.is_from_planner);
            if is_news {
                self.known.insert(key, of_entry(entry));
            }
        }
    }

    /// Takes news from the planner.
    pub fn take_news(&mut self, roster: &UpstreamRoster, news: &PlacementUpdate) {
        for holdings in &news.holdings {
            let Some(key) = roster.key_of(&holdings.id) else {
                continue;
            };
            let is_same_start = roster
                .get(key)
                .is_some_and(|entry| entry.started_at_ms == holdings.started_at_ms);
            if !is_same_start {
                continue;
            }
            self.missing.retain(|(upstream, _), _| *upstream != key);
            let known = KnownHoldings {
                is_from_planner: true,
                models: holdings.models.clone(),
            };
            self.known.insert(key, known);
        }
    }

    /// Falls back to the list, because the planner fell silent.
    pub fn forget_planner(&mut self, roster: &UpstreamRoster) {
        for known in self.known.values_mut() {
            known.is_from_planner = false;
        }
        self.take_roster(roster);
    }

    /// Takes an engine's own word that it cannot serve a need.
    pub fn note_missing(&mut self, now: MonoTime, key: UpstreamKey, need: &ModelNeed) {
        self.missing.retain(|_, until| now < *until);
        self.missing.insert((key, need.clone()), now + MISSING_MS);
    }

    /// Whether a request with the need can be sent to the engine.
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

fn of_entry(entry: &UpstreamEntry) -> KnownHoldings {
    let models = entry.models.iter();
    KnownHoldings {
        is_from_planner: false,
        models: models
            .map(|held| (held.model.clone(), held.adapters.clone()))
            .collect(),
    }
}
