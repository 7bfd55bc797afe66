//! Plans of the two example fleets in `examples/`.

use quetzalpin::prelude::*;
use quetzalpin::settings::SubtreeName;
use quetzalpin_standins::{
    EngineOptions, FleetPlan, ServiceOptions, UpstreamPlan, WeightLimits, default_agent,
};

use crate::errors::ToolError;

/// Duration of a call to the plain service in milliseconds.
const CALL_MS: u64 = 20;

/// Rank of chat requests; both examples define all three.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChatRank {
    /// `urgent`.
    Urgent,
    /// `normal`.
    Normal,
    /// `background`.
    Background,
}

impl ChatRank {
    /// Parses a rank name; urgent if absent.
    ///
    /// # Errors
    /// [`ToolError::UnknownRank`] if no rank has this name.
    pub fn parse(name: Option<&str>) -> Result<Self, ToolError> {
        match name {
            None | Some("urgent") => Ok(Self::Urgent),
            Some("normal") => Ok(Self::Normal),
            Some("background") => Ok(Self::Background),
            Some(other) => Err(ToolError::UnknownRank(other.to_owned())),
        }
    }
}

/// Example fleet, with its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExampleFleet {
    /// `examples/office`.
    Office,
    /// `examples/nocturne`.
    Nocturne,
}

/// Number of processes by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Entries.
    pub entries: usize,
}

impl ExampleFleet {
    /// Parses a fleet name; office if absent.
    ///
    /// # Errors
    /// [`ToolError::UnknownFleet`] if no fleet has this name.
    pub fn parse(name: Option<&str>) -> Result<Self, ToolError> {
        match name {
            None | Some("office") => Ok(Self::Office),
            Some("nocturne") => Ok(Self::Nocturne),
            Some(other) => Err(ToolError::UnknownFleet(other.to_owned())),
        }
    }

    /// Credential and work kind that the settings assign to a rank.
    pub const fn credential_and_kind(self, rank: ChatRank) -> (&'static str, &'static str) {
        match (self, rank) {
            (Self::Office, ChatRank::Urgent) => ("inspectors-secret", "verdict"),
            (Self::Office, ChatRank::Normal) => ("potters-secret", "question"),
            (Self::Office, ChatRank::Background) => ("potters-secret", "notes"),
            (Self::Nocturne, ChatRank::Urgent) => ("jordan-secret", "draft"),
            (Self::Nocturne, ChatRank::Normal) => ("walkins-secret", "draft"),
            (Self::Nocturne, ChatRank::Background) => ("jordan-secret", "tags"),
        }
    }

    /// Current size of the fleet.
    pub const fn current_size(self) -> FleetSize {
        match self {
            Self::Office => FleetSize {
                engines: 20,
                services: 3,
                entries: 3,
            },
            Self::Nocturne => FleetSize {
                engines: 12,
                services: 3,
                entries: 3,
            },
        }
    }

    /// Number of models in the settings.
    pub fn model_count(self) -> usize {
        self.model_names().len()
    }

    /// Model names, in the order of the settings.
    pub fn model_names(self) -> Vec<String> {
        let sections = self.root_text().lines();
        sections
            .filter_map(|line| line.strip_prefix("[model."))
            .map(|name| name.trim_end_matches(']').to_owned())
            .collect()
    }

    /// Memory of each model in megabytes, in the order of the settings.
    pub fn model_memories_mb(self) -> Vec<u64> {
        let values = self.root_text().lines();
        values
            .filter_map(|line| line.strip_prefix("memory_mb = "))
            .filter_map(|text| text.parse().ok())
            .collect()
    }

    /// Plan of a fleet of the given size, with the settings of the example.
    pub fn plan(self, size: FleetSize) -> FleetPlan {
        let mut upstreams = vec![UpstreamPlan::Engine(EngineOptions::default()); size.engines];
        for _ in 0..size.services {
            let options = ServiceOptions { call_ms: CALL_MS };
            upstreams.push(UpstreamPlan::Service(self.service(), options));
        }
        FleetPlan {
            zones: self.zones(),
            entries: size.entries,
            upstreams,
            weights: self.weights(),
            settings: self.settings(),
            agent: default_agent(),
            poll_ms: 1_000,
        }
    }

    fn service(self) -> ServiceName {
        match self {
            Self::Office => ServiceName::from("registry"),
            Self::Nocturne => ServiceName::from("print-orders"),
        }
    }

    fn zones(self) -> Vec<(RegionName, ZoneName)> {
        let regions = match self {
            Self::Office => ["armor", "argoat", "kerne"],
            Self::Nocturne => ["great-lakes", "north-atlantic", "pacific-coast"],
        };
        let main = regions[0];
        let zones = [
            (main, "a"),
            (main, "b"),
            (main, "c"),
            (regions[1], "a"),
            (regions[2], "a"),
        ];
        zones
            .into_iter()
            .map(|(region, zone)| {
                let zone = format!("{region}-{zone}");
                (RegionName::from(region), ZoneName::from(zone.as_str()))
            })
            .collect()
    }

    const fn weights(self) -> WeightLimits {
        let loads_per_ks = match self {
            Self::Office => 10_000,
            Self::Nocturne => 4_500,
        };
        WeightLimits {
            loads_per_ks,
            loads_at_once: 4,
            adapter_loads_at_once: 32,
        }
    }

    const fn root_text(self) -> &'static str {
        match self {
            Self::Office => include_str!("../../../examples/office/root.ini"),
            Self::Nocturne => include_str!("../../../examples/nocturne/root.ini"),
        }
    }

    fn settings(self) -> Vec<(SubtreeName, String)> {
        let teams = match self {
            Self::Office => [
                (
                    "potters",
                    include_str!("../../../examples/office/team-potters.ini"),
                ),
                (
                    "inspectors",
                    include_str!("../../../examples/office/team-inspectors.ini"),
                ),
            ],
            Self::Nocturne => [
                (
                    "jordan",
                    include_str!("../../../examples/nocturne/team-jordan.ini"),
                ),
                (
                    "walkins",
                    include_str!("../../../examples/nocturne/team-walkins.ini"),
                ),
            ],
        };
        let mut settings = vec![(SubtreeName::Root, self.root_text().to_owned())];
        for (team, text) in teams {
            settings.push((SubtreeName::Team(TeamName::from(team)), text.to_owned()));
        }
        settings
    }
}
