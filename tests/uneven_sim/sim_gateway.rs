//! A gateway that knows of engines only what its own requests have brought.

use std::collections::HashMap;

use quetzalpin::fleet::{UpstreamKey, UpstreamRoster};
use quetzalpin::gateway::{
    CallPlan, ChoiceInput, LoadTracker, PauseRegistry, PlacementView, UpstreamChoice,
    choose_upstream,
};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::RateLimiter;
use quetzalpin::upstream_speed::{DurationFigure, PaceMeter, SpeedTracker, WorkClass, WorkSample};

use super::{MODEL, upstream_id};

struct MeteredStream {
    meter: PaceMeter,
    arrived_at: MonoTime,
}

pub struct SimGateway {
    roster: UpstreamRoster,
    placement: PlacementView,
    keys: Vec<UpstreamKey>,
    pub loads: LoadTracker,
    pub speeds: SpeedTracker,
    /// Whether the gateway learns speeds; otherwise all count as equal.
    learns: bool,
    streams: HashMap<(usize, u64), MeteredStream>,
}

impl SimGateway {
    pub fn open(roster: UpstreamRoster, engines: usize, learns: bool) -> Self {
        let mut placement = PlacementView::open();
        placement.apply_roster(&roster);
        let keys = (0..engines).filter_map(|number| roster.key_of(&upstream_id(number)));
        Self {
            keys: keys.collect(),
            roster,
            placement,
            loads: LoadTracker::open(),
            speeds: SpeedTracker::open(),
            learns,
            streams: HashMap::new(),
        }
    }

    pub fn key(&self, engine: usize) -> UpstreamKey {
        self.keys[engine]
    }

    /// The engine that the gateway chooses; `None` if there is none.
    pub fn choose(&self, now: MonoTime, plan: &CallPlan) -> Option<usize> {
        let choice = choose_upstream(&ChoiceInput {
            now,
            plan,
            roster: &self.roster,
            placement: &self.placement,
            loads: &self.loads,
            speeds: &self.speeds,
            pauses: &PauseRegistry::open(),
            limiter: &RateLimiter::open(),
            software: None,
            tried: &[],
            zone: &ZoneName::from("home"),
            is_near: &|_| true,
        });
        match choice {
            UpstreamChoice::Send { key, .. } => self.keys.iter().position(|known| *known == key),
            _ => None,
        }
    }

    pub fn begin(&mut self, engine: usize, prompt_tokens: u32) {
        self.loads.begin_request(self.keys[engine]);
        self.loads.begin_prompt(self.keys[engine], prompt_tokens);
    }

    pub fn record_head(
        &mut self,
        now: MonoTime,
        engine: usize,
        load: u32,
        figure: Option<f64>,
        prompt_tokens: u32,
    ) {
        let key = self.keys[engine];
        self.loads.end_prompt(key, prompt_tokens);
        self.loads.record_load(now, key, load);
        if self.learns {
            let figure = figure.map(|percent| DurationFigure::of_percent(Some(percent)));
            let service = ServiceName::from("engines");
            self.speeds.record_figure(now, key, &service, figure);
        }
    }

    pub fn record_events(&mut self, now: MonoTime, engine: usize, stream: u64, count: u64) {
        let metered = self
            .streams
            .entry((engine, stream))
            .or_insert_with(|| MeteredStream {
                meter: PaceMeter::default(),
                arrived_at: now,
            });
        let event_ms = metered.meter.record_events(metered.arrived_at, now, count);
        metered.arrived_at = now;
        let load = self.loads.recent_load(now, self.keys[engine]);
        let (true, Some(work_ms), Some(load)) = (self.learns, event_ms, load) else {
            return;
        };
        let class = WorkClass {
            service: ServiceName::from("engines"),
            model: Some(ModelName::from(MODEL)),
            is_stream: true,
        };
        let sample = WorkSample {
            class: &class,
            load,
            work_ms,
        };
        self.speeds.record_work(now, self.keys[engine], sample);
    }

    pub fn end(&mut self, engine: usize, stream: u64) {
        self.streams.remove(&(engine, stream));
        self.loads.end_request(self.keys[engine]);
    }
}
