//! Whether the engines of a service have too little room for its models.

use crate::fleet::EngineConfig;

/// Multiple of the memory of all engines that the models of the configuration need at least for the
/// room to count as short.
const SHORT_FACTOR: f64 = 1.25;

/// Whether room is short: the models need more than 1.25 times the memory of all engines together,
/// or engines refuse requests because they are full.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn is_room_short(config: &EngineConfig, engines: usize, are_engines_full: bool) -> bool {
    let needed_mb: f64 = config.models.values().map(|model| model.memory_mb).sum();
    let room_mb = engines as f64 * config.memory_mb;
    are_engines_full || needed_mb > room_mb * SHORT_FACTOR
}
