//! Requests whose agent fell silent: did they crash its engine?

use super::RequestFingerprint;
use crate::ids::InstanceName;
use crate::routing::rendezvous_weight;
use crate::time::MonoTime;

/// Milliseconds after which an unexplained loss is no longer followed.
const FOLLOW_MS: u64 = 600_000;

/// Losses followed at most; the oldest go first.
const MAX_LOSSES: usize = 10_000;

/// One request that was lost with its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnexplainedLoss {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Where it was sent.
    pub instance: InstanceName,
    /// Start of the engine when it was sent.
    pub boot_id: u64,
    /// Number of the crash that it is presumed to be part of.
    pub crash: u64,
    /// When it was lost.
    pub at: MonoTime,
}

/// Follows losses until the agent is heard of again: an engine of the same start has not
/// crashed, and the presumption falls.
#[derive(Debug, Default)]
pub struct LossTracker {
    losses: Vec<UnexplainedLoss>,
}

impl LossTracker {
    /// Opens a watch without losses.
    #[must_use]
    pub fn open() -> Self {
        Self::default()
    }

    /// Follows a loss.
    pub fn track(&mut self, loss: UnexplainedLoss) {
        let now = loss.at;
        self.losses
            .retain(|known| now.millis_since(known.at) < FOLLOW_MS);
        if self.losses.len() >= MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    /// Takes an engine's start as its agent reports it now. Returns the losses that were no
    /// crash; those of another start stay counted.
    pub fn resolve_losses(
        &mut self,
        instance: &InstanceName,
        boot_id: u64,
    ) -> Vec<UnexplainedLoss> {
        let (heard, others): (Vec<UnexplainedLoss>, Vec<UnexplainedLoss>) =
            std::mem::take(&mut self.losses)
                .into_iter()
                .partition(|loss| loss.instance == *instance);
        self.losses = others;
        heard
            .into_iter()
            .filter(|loss| loss.boot_id == boot_id)
            .collect()
    }
}

/// Number of the crash that ended one start of one instance's engine.
#[must_use]
pub fn crash_number(instance: &InstanceName, boot_id: u64) -> u64 {
    rendezvous_weight(instance.as_str(), &boot_id.to_string())
}
