//! An engine that reads prompts one after the other and writes events at a pace that its batch, its
//! speed and its neighbour set.

use super::STEP_MS;

/// Milliseconds per event of an engine of usual speed with an empty batch.
const EVENT_MS: f64 = 40.0;

/// Further time per event for each stream beside it.
const BATCH_SHARE: f64 = 0.03;

/// Milliseconds for one token of a prompt at usual speed.
const TOKEN_MS: f64 = 80.0 / 2_400.0;

/// A neighbour that makes work take longer for a while in each period.
#[derive(Debug, Clone, Copy)]
pub struct BusyNeighbour {
    pub period_ms: u64,
    pub busy_ms: u64,
    pub phase_ms: u64,
    pub factor: f64,
}

struct SimStream {
    id: u64,
    gateway: usize,
    begun_ms: u64,
    unread_tokens: f64,
    has_head: bool,
    written: f64,
    events: f64,
}

pub struct HeadReport {
    pub gateway: usize,
    pub load: u32,
    /// Percent of the usual duration; `None` where the service sends no such figure.
    pub figure: Option<f64>,
}

pub struct EventReport {
    pub gateway: usize,
    pub stream: u64,
    pub count: u64,
}

pub struct EndReport {
    pub gateway: usize,
    pub stream: u64,
    pub begun_ms: u64,
}

#[derive(Default)]
pub struct StepReport {
    pub heads: Vec<HeadReport>,
    pub events: Vec<EventReport>,
    pub ends: Vec<EndReport>,
}

pub struct SimEngine {
    /// Work per time relative to the usual.
    speed: f64,
    neighbour: Option<BusyNeighbour>,
    reports_figure: bool,
    streams: Vec<SimStream>,
    serial: u64,
}

impl SimEngine {
    pub fn open(speed: f64) -> Self {
        Self {
            speed,
            neighbour: None,
            reports_figure: false,
            streams: Vec::new(),
            serial: 0,
        }
    }

    pub fn beside(self, neighbour: BusyNeighbour) -> Self {
        Self {
            neighbour: Some(neighbour),
            reports_figure: true,
            ..self
        }
    }

    pub fn is_in_slow_moment(&self, now_ms: u64) -> bool {
        self.neighbour.is_some_and(|neighbour| {
            (now_ms + neighbour.phase_ms) % neighbour.period_ms < neighbour.busy_ms
        })
    }

    pub fn begin(&mut self, now_ms: u64, gateway: usize, events: f64, prompt_tokens: u32) {
        self.serial += 1;
        self.streams.push(SimStream {
            id: self.serial,
            gateway,
            begun_ms: now_ms,
            unread_tokens: f64::from(prompt_tokens),
            has_head: false,
            written: 0.0,
            events,
        });
    }

    fn slowdown(&self, now_ms: u64) -> f64 {
        let is_slow = self.is_in_slow_moment(now_ms);
        self.neighbour
            .filter(|_| is_slow)
            .map_or(1.0, |neighbour| neighbour.factor)
    }

    /// Works for one step.
    pub fn advance(&mut self, now_ms: u64) -> StepReport {
        let mut report = StepReport::default();
        let slowdown = self.slowdown(now_ms);
        let load = u32::try_from(self.streams.len()).unwrap_or(u32::MAX);
        let step_ms = STEP_MS as f64 * self.speed / slowdown;
        let mut readable = step_ms / TOKEN_MS;
        let event_ms = EVENT_MS * (1.0 + BATCH_SHARE * f64::from(load.saturating_sub(1)));
        for stream in &mut self.streams {
            if stream.unread_tokens > 0.0 {
                let read = stream.unread_tokens.min(readable);
                stream.unread_tokens -= read;
                readable -= read;
                continue;
            }
            if !stream.has_head {
                stream.has_head = true;
                report.heads.push(HeadReport {
                    gateway: stream.gateway,
                    load,
                    figure: self.reports_figure.then_some(slowdown * 100.0),
                });
            }
            let before = stream.written.floor();
            stream.written += step_ms / event_ms;
            let count = (stream.written.floor() - before) as u64;
            if count > 0 {
                report.events.push(EventReport {
                    gateway: stream.gateway,
                    stream: stream.id,
                    count,
                });
            }
            if stream.written >= stream.events {
                report.ends.push(EndReport {
                    gateway: stream.gateway,
                    stream: stream.id,
                    begun_ms: stream.begun_ms,
                });
            }
        }
        self.streams.retain(|stream| stream.written < stream.events);
        report
    }
}
