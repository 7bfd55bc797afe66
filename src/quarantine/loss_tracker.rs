//! Tracks requests lost with their agent until it is known whether the engine crashed.

use super::RequestFingerprint;
use crate::ids::InstanceName;
use crate::routing::rendezvous_weight;
use crate::time::MonoTime;

/// Milliseconds after which an unexplained loss is no longer tracked.
const TRACK_MS: u64 = 600_000;

/// Losses tracked at most; the oldest are dropped first.
const MAX_LOSSES: usize = 10_000;

/// One request that was lost with its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexplainedLoss {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The instance that it was sent to.
    pub instance: InstanceName,
    /// Boot ID of the engine when the request was sent.
    pub boot_id: u64,
    /// ID of the presumed crash.
    pub crash: u64,
    /// When it was lost.
    pub at: MonoTime,
}

/// Tracks losses until the agent reports again. If the engine's boot ID is the same, it has not
/// crashed, and the losses no longer count as crashes.
#[derive(Debug, Default)]
pub struct LossTracker {
    losses: Vec<UnexplainedLoss>,
}

impl LossTracker {
    /// Creates a tracker without losses.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Adds a loss.
    pub fn track(&mut self, loss: UnexplainedLoss) {
        let now = loss.at;
        self.losses
            .retain(|known| now.millis_since(known.at) < TRACK_MS);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    /// Stops tracking an instance's losses, given the boot ID that its agent reports now. Returns
    /// those that were not crashes; losses with another boot ID stay counted as crashes.
    pub fn resolve_losses(
        &mut self,
        instance: &InstanceName,
        boot_id: u64,
    ) -> Vec<UnexplainedLoss> {
        let (resolved, others): (Vec<UnexplainedLoss>, Vec<UnexplainedLoss>) =
            std::mem::take(&mut self.losses)
                .into_iter()
                .partition(|loss| loss.instance == *instance);
        self.losses = others;
        resolved
            .into_iter()
            .filter(|loss| loss.boot_id == boot_id)
            .collect()
    }
}

/// ID of the crash that ended the engine with this boot ID; the same on every process.
#[must_use]
pub fn crash_id(instance: &InstanceName, boot_id: u64) -> u64 {
    rendezvous_weight(instance.as_str(), &boot_id.to_string())
}
