//! Parses the texts of all subtrees into one validated tree.

use std::collections::BTreeMap;

use ini::{Ini, Properties};

use super::{
    AdapterSettings, FaultCause, FleetLimits, FleetSettings, KindSettings, ModelSettings,
    RankSettings, SectionReader, SettingsFault, SettingsRow, SubtreeName, WorkTarget,
};
use crate::prelude::*;

/// Minimum retention of run rows in milliseconds, longer than any attempt can last.
const MIN_RECORD_MS: u64 = 1_800_000;

const EXPECTED_COUNT: &str = "a whole number";
const EXPECTED_MILLIS: &str = "a whole number of milliseconds";
const EXPECTED_MEGABYTES: &str = "a whole number of megabytes";

struct TreeBuilder {
    settings: FleetSettings,
    faults: Vec<SettingsFault>,
}

/// Parses all subtrees and checks them as a whole.
///
/// # Errors
/// All faults of all subtrees.
pub fn parse_tree(rows: &[SettingsRow]) -> Result<FleetSettings, Vec<SettingsFault>> {
    let mut builder = TreeBuilder::open();
    let mut ordered: Vec<&SettingsRow> = rows.iter().collect();
    ordered.sort_by(|a, b| a.subtree.cmp(&b.subtree));
    for row in ordered {
        builder.settings.revision = builder.settings.revision.max(row.revision);
        builder.read_subtree(row);
    }
    builder.check_references();
    if builder.faults.is_empty() {
        Ok(builder.settings)
    } else {
        Err(builder.faults)
    }
}

impl TreeBuilder {
    fn open() -> Self {
        let empty = Properties::default();
        let mut faults = Vec::new();
        let mut reader = SectionReader::open("root", "fleet", &empty, &mut faults);
        let limits = read_limits(&mut reader);
        let settings = FleetSettings {
            revision: 0,
            operator_sha256: String::new(),
            limits,
            ranks: BTreeMap::new(),
            models: BTreeMap::new(),
            teams: BTreeMap::new(),
        };
        Self {
            settings,
            faults: Vec::new(),
        }
    }

    fn read_subtree(&mut self, row: &SettingsRow) {
        let file = row.subtree.to_string();
        let document = match Ini::load_from_str(&row.text) {
            Ok(document) => document,
            Err(error) => {
                self.record_fault(&file, "", "", FaultCause::Syntax(error.to_string()));
                return;
            }
        };
        for (section, properties) in &document {
            let Some(section) = section else {
                if !properties.is_empty() {
                    self.record_fault(&file, "", "", FaultCause::UnknownSection);
                }
                continue;
            };
            self.read_section(&row.subtree, &file, section, properties);
        }
    }

    fn read_section(
        &mut self,
        subtree: &SubtreeName,
        file: &str,
        section: &str,
        properties: &Properties,
    ) {
        let parts: Vec<&str> = section.splitn(4, '.').collect();
        match (subtree, parts.as_slice()) {
            (SubtreeName::Root, ["fleet"]) => self.read_fleet(file, section, properties),
            (SubtreeName::Root, ["rank", name]) => self.read_rank(file, section, name, properties),
            (SubtreeName::Root, ["model", ..]) => {
                let name = section.trim_start_matches("model.");
                self.read_model(file, section, name, properties);
            }
            (SubtreeName::Root, ["team", name]) => self.read_team(file, section, name, properties),
            (SubtreeName::Team(team), ["team", name, "kind", kind]) if team.as_str() == *name => {
                self.read_kind(file, section, team, kind, properties);
            }
            (SubtreeName::Team(team), ["team", name, "adapter", adapter])
                if team.as_str() == *name =>
            {
                self.read_adapter(file, section, team, adapter, properties);
            }
            (SubtreeName::Team(_), ["team" | "fleet" | "rank" | "model", ..])
            | (SubtreeName::Root, ["team", _, _, _]) => {
                self.record_fault(file, section, "", FaultCause::ForeignSection);
            }
            _ => self.record_fault(file, section, "", FaultCause::UnknownSection),
        }
    }

    fn read_fleet(&mut self, file: &str, section: &str, properties: &Properties) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        self.settings.limits = read_limits(&mut reader);
        if self.settings.limits.record_ms < MIN_RECORD_MS {
            let expected = format!("at least {MIN_RECORD_MS}");
            reader.record_fault("record_ms", FaultCause::WrongValue(expected));
        }
        self.settings.operator_sha256 = reader.text("operator_sha256", "a SHA-256 in hexadecimal");
        reader.reject_unknown_keys();
    }

    fn read_rank(&mut self, file: &str, section: &str, name: &str, properties: &Properties) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        let rank = RankSettings {
            order: reader.required("order", EXPECTED_COUNT, 0),
            worth: reader.or_default("worth", EXPECTED_COUNT, 1),
            floor_percent: reader.or_default("floor_percent", "a percentage", 0),
            deadline_ms: reader.required("deadline_ms", EXPECTED_MILLIS, 1_000),
        };
        reader.reject_unknown_keys();
        self.settings.ranks.insert(RankName::from(name), rank);
    }

    fn read_model(&mut self, file: &str, section: &str, name: &str, properties: &Properties) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        let model = ModelSettings {
            version: reader.or_default("version", EXPECTED_COUNT, 1),
            memory_mb: reader.required("memory_mb", EXPECTED_MEGABYTES, 1),
            load_ms: reader.required("load_ms", EXPECTED_MILLIS, 1_000),
            regions: reader.list("regions"),
            teams: reader.list("teams"),
        };
        reader.reject_unknown_keys();
        self.settings.models.insert(ModelName::from(name), model);
    }

    fn read_team(&mut self, file: &str, section: &str, name: &str, properties: &Properties) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        let digest = reader.text("credential_sha256", "a SHA-256 in hexadecimal");
        let share = reader.or_default("share", "a whole number of at least 1", 1);
        if share == 0 {
            reader.record_fault("share", FaultCause::WrongValue("at least 1".to_owned()));
        }
        reader.reject_unknown_keys();
        let team = self.settings.teams.entry(TeamName::from(name)).or_default();
        team.credential_sha256 = digest;
        team.share = share;
    }

    fn read_kind(
        &mut self,
        file: &str,
        section: &str,
        team: &TeamName,
        name: &str,
        properties: &Properties,
    ) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        let rank = reader.text("rank", "the name of a rank");
        let service: Option<String> = reader.optional("service", "the name of a service");
        let kind = KindSettings {
            rank: RankName::from(rank.as_str()),
            is_idempotent: reader.or_default("idempotent", "true or false", true),
            target: service.map_or(WorkTarget::Engine, |name| {
                WorkTarget::Service(ServiceName::from(name.as_str()))
            }),
            deadline_ms: reader.optional("deadline_ms", EXPECTED_MILLIS),
        };
        reader.reject_unknown_keys();
        let team = self.settings.teams.entry(team.clone()).or_default();
        team.kinds.insert(KindName::from(name), kind);
    }

    fn read_adapter(
        &mut self,
        file: &str,
        section: &str,
        team: &TeamName,
        name: &str,
        properties: &Properties,
    ) {
        let mut reader = SectionReader::open(file, section, properties, &mut self.faults);
        let model = reader.text("model", "the name of a model");
        let adapter = AdapterSettings {
            model: ModelName::from(model.as_str()),
            version: reader.or_default("version", EXPECTED_COUNT, 1),
            memory_mb: reader.or_default("memory_mb", EXPECTED_MEGABYTES, 64),
        };
        reader.reject_unknown_keys();
        let team = self.settings.teams.entry(team.clone()).or_default();
        team.adapters.insert(AdapterName::from(name), adapter);
    }

    fn check_references(&mut self) {
        let floor_sum: u32 = self.settings.ranks.values().map(|r| r.floor_percent).sum();
        if floor_sum > 100 {
            let cause = FaultCause::WrongValue("floors of all ranks within 100".to_owned());
            self.record_fault("root", "rank", "floor_percent", cause);
        }
        let mut dangling_references = Vec::new();
        for (team_name, team) in &self.settings.teams {
            if team.credential_sha256.is_empty() {
                dangling_references.push((
                    team_name,
                    format!("team.{team_name}"),
                    "",
                    "the team in root",
                ));
            }
            for (name, kind) in &team.kinds {
                let is_named = !kind.rank.as_str().is_empty();
                if is_named && !self.settings.ranks.contains_key(&kind.rank) {
                    let section = format!("team.{team_name}.kind.{name}");
                    dangling_references.push((team_name, section, "rank", kind.rank.as_str()));
                }
            }
            for (name, adapter) in &team.adapters {
                let is_named = !adapter.model.as_str().is_empty();
                if is_named && !self.settings.models.contains_key(&adapter.model) {
                    let section = format!("team.{team_name}.adapter.{name}");
                    dangling_references.push((team_name, section, "model", adapter.model.as_str()));
                }
            }
        }
        let faults: Vec<SettingsFault> = dangling_references
            .into_iter()
            .map(|(team, section, key, target)| SettingsFault {
                file: format!("team.{team}"),
                line: None,
                section,
                key: key.to_owned(),
                cause: FaultCause::DanglingReference(target.to_owned()),
            })
            .collect();
        self.faults.extend(faults);
    }

    fn record_fault(&mut self, file: &str, section: &str, key: &str, cause: FaultCause) {
        self.faults.push(SettingsFault {
            file: file.to_owned(),
            line: None,
            section: section.to_owned(),
            key: key.to_owned(),
            cause,
        });
    }
}

fn read_limits(reader: &mut SectionReader<'_>) -> FleetLimits {
    FleetLimits {
        loads_per_ks: reader.or_default("loads_per_1000_s", EXPECTED_COUNT, 10_000),
        loads_at_once: reader.or_default("loads_at_once", EXPECTED_COUNT, 4),
        adapter_loads_at_once: reader.or_default("adapter_loads_at_once", EXPECTED_COUNT, 32),
        standby_slots: reader.or_default("standby_slots", EXPECTED_COUNT, 2),
        max_slots: reader.or_default("max_slots", EXPECTED_COUNT, 8),
        partitions: reader.or_default("partitions", EXPECTED_COUNT, 4),
        lease_ms: reader.or_default("lease_ms", EXPECTED_MILLIS, 6_000),
        gone_after_ms: reader.or_default("gone_after_ms", EXPECTED_MILLIS, 10_000),
        min_idle_ms: reader.or_default("min_idle_ms", EXPECTED_MILLIS, 10_000),
        quarantine_ms: reader.or_default("quarantine_ms", EXPECTED_MILLIS, 600_000),
        record_ms: reader.or_default("record_ms", EXPECTED_MILLIS, 86_400_000),
    }
}
