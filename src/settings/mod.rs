//! The fleet settings tree: typed values, parsing and validation, and the follower that keeps
//! the newest accepted revision.

mod fleet_settings;
mod section_reader;
mod settings_fault;
mod settings_follower;
mod settings_row;
mod subtree_name;
mod tree_parser;

pub use fleet_settings::{
    AdapterSettings, FleetLimits, FleetSettings, KindSettings, ModelSettings, RankSettings,
    TeamSettings, WorkTarget, credential_digest,
};
pub use section_reader::SectionReader;
pub use settings_fault::{FaultCause, SettingsFault};
pub use settings_follower::SettingsFollower;
pub use settings_row::{SETTINGS_HEAD_KEY, SETTINGS_PREFIX, SettingsHead, SettingsRow};
pub use subtree_name::SubtreeName;
pub use tree_parser::parse_tree;
