//! Ranks and their guaranteed shares of service.

use crate::ids::RankName;
use crate::settings::FleetSettings;

/// Position of a rank in the queue's order; zero is the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RankKey(pub usize);

/// One rank with its guaranteed share of service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankShare {
    /// The rank's name.
    pub name: RankName,
    /// Percent of service guaranteed to the rank when more urgent ranks overload the queue.
    pub floor_percent: u32,
}

impl RankShare {
    /// All ranks of the settings from most to least urgent.
    #[must_use]
    pub fn all_of(settings: &FleetSettings) -> Vec<Self> {
        let ranks = settings.ranks_by_order();
        ranks
            .into_iter()
            .map(|(name, rank)| Self {
                name: name.clone(),
                floor_percent: rank.floor_percent,
            })
            .collect()
    }
}
