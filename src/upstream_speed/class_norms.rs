//! Usual duration of each kind of work.

use std::collections::HashMap;

use super::WorkClass;
use crate::prelude::*;

/// Kinds of work that are remembered; a deployment has a few hundred models.
const MAX_CLASSES: usize = 1_024;

/// Milliseconds after which an unused norm is dropped when there are too many.
const IDLE_CLASS_MS: u64 = 600_000;

/// Least weight of the latest sample, so that a norm follows a new version of a model.
const MIN_GAIN: f64 = 1.0 / 32.0;

#[derive(Debug)]
struct ClassNorm {
    log_ms: f64,
    count: f64,
    used_at: MonoTime,
}

/// Natural logarithms of the milliseconds that work takes at an upstream of usual speed without
/// other load.
#[derive(Debug, Default)]
pub(super) struct ClassNorms {
    norms: HashMap<WorkClass, ClassNorm>,
}

impl ClassNorms {
    /// Compares a duration with the norm and adjusts the norm. `rest` is what the upstream and its
    /// load explain of it. Returns the unexplained part; the first sample sets the norm.
    pub(super) fn compare(
        &mut self,
        now: MonoTime,
        class: &WorkClass,
        log_ms: f64,
        rest: f64,
    ) -> f64 {
        if let Some(norm) = self.norms.get_mut(class) {
            let surprise = log_ms - rest - norm.log_ms;
            norm.count += 1.0;
            norm.log_ms += surprise * (1.0 / norm.count).max(MIN_GAIN);
            norm.used_at = now;
            return surprise;
        }
        if self.norms.len() >= MAX_CLASSES {
            self.norms
                .retain(|_, norm| now.millis_since(norm.used_at) < IDLE_CLASS_MS);
        }
        if self.norms.len() < MAX_CLASSES {
            let norm = ClassNorm {
                log_ms: log_ms - rest,
                count: 1.0,
                used_at: now,
            };
            self.norms.insert(class.clone(), norm);
        }
        0.0
    }
}
