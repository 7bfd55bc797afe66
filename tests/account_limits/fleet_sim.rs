//! A simulated fleet: gateways with limiters, one planner, and messages that take 1 to 62 ms.

use std::collections::VecDeque;

use fastrand::Rng;
use quetzalpin::account::{AccountDirectory, AccountLimit, ClientAccount, LimitUnit};
use quetzalpin::account_limit::{
    AccountBounds, AccountIssuer, AccountLimiter, AccountWait, AllowanceGrant, AllowanceReport,
    PlannerAnswer,
};
use quetzalpin::prelude::*;
use quetzalpin::rate_limit::WaitTurn;

/// Milliseconds between two steps.
const STEP_MS: u64 = 4;

/// Milliseconds between two reports of a gateway, and while requests wait.
const REPORT_MS: u64 = 500;
const WAITING_REPORT_MS: u64 = 150;

/// Milliseconds between two checks of the requests that wait.
const WAIT_CHECK_MS: u64 = 20;

/// Milliseconds after which a report without an answer is given up.
const CALL_TIMEOUT_MS: u64 = 1_800;

/// Milliseconds for which a request may wait in all.
pub const WAIT_LIMIT_MS: u64 = 2_000;

/// Length of the checked window in milliseconds.
const WINDOW_MS: u64 = 8_000;

/// Bounds as deployments state them.
pub const BOUNDS: AccountBounds = AccountBounds {
    window_s: 8.0,
    overage: 0.1,
    slack: 17_000.0,
};

pub fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

/// A limit in tokens with a burst of one second.
pub fn limit(per_s: f64) -> AccountLimit {
    AccountLimit {
        per_s,
        burst: per_s,
        unit: LimitUnit::Tokens { plain_tokens: 500 },
    }
}

pub fn account() -> AccountName {
    AccountName::from("account-1")
}

pub fn directory(limit: AccountLimit) -> AccountDirectory {
    let mut accounts = AccountDirectory::default();
    let account = ClientAccount {
        name: account(),
        rank: None,
        limit: Some(limit),
    };
    accounts.add(account, []).expect("one account");
    accounts
}

/// Cost of a request in tokens: mostly 200 to 1,500, a few above 4,000.
fn request_cost(rng: &mut Rng) -> u32 {
    if rng.u32(..50) == 0 {
        rng.u32(4_000..6_000)
    } else {
        rng.u32(200..1_500)
    }
}

/// Mean of [`request_cost`].
pub const MEAN_COST: f64 = 0.98 * 850.0 + 0.02 * 5_000.0;

/// Whether a gateway works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayState {
    Running,
    /// It runs, but no message reaches or leaves it.
    CutOff,
    /// It does nothing until it is set running again.
    Frozen,
}

struct WaitingRequest {
    wait: AccountWait,
    since: u64,
}

struct SimGateway {
    name: InstanceName,
    limiter: AccountLimiter,
    limit: AccountLimit,
    version: u64,
    state: GatewayState,
    waiting: Vec<WaitingRequest>,
    report_at: u64,
    is_wanted: bool,
    /// When the report was sent that has no answer yet.
    asked_at: Option<u64>,
}

enum Message {
    Report(usize, u64, AllowanceReport),
    Answer(usize, u64, u32, u64, Vec<AllowanceGrant>),
}

fn message_bytes(message: &impl serde::Serialize) -> usize {
    serde_json::to_string(message).expect("text").len()
}

/// What became of the requests.
#[derive(Debug, Default, Clone, Copy)]
pub struct Totals {
    pub sent: u32,
    pub refused: u32,
    pub waited_ms: u64,
    pub reports: u32,
    /// Bytes of the reports' and answers' parts about accounts.
    pub bytes: usize,
}

pub struct FleetSim {
    pub now: u64,
    rng: Rng,
    gateways: Vec<SimGateway>,
    planner: Option<AccountIssuer>,
    planner_accounts: AccountDirectory,
    planner_version: u64,
    messages: Vec<(u64, Message)>,
    /// Time and cost of each request's arrival at an upstream.
    arrivals: VecDeque<(u64, u32)>,
    pub totals: Totals,
    next_number: u64,
    /// A naive planner: it takes gateways that do not report for gone at once.
    pub forgets_silent: bool,
}

impl FleetSim {
    pub fn open(seed: u64, gateway_count: usize, limit: AccountLimit) -> Self {
        fastrand::seed(seed);
        let mut rng = Rng::with_seed(seed);
        let gateways = (0..gateway_count).map(|number| SimGateway {
            name: InstanceName::from(format!("gateway-{number}").as_str()),
            limiter: AccountLimiter::open(at(0), BOUNDS),
            limit,
            version: 1,
            state: GatewayState::Running,
            waiting: Vec::new(),
            report_at: rng.u64(..REPORT_MS),
            is_wanted: false,
            asked_at: None,
        });
        Self {
            now: 0,
            gateways: gateways.collect(),
            rng,
            planner: Some(AccountIssuer::open(at(0), BOUNDS)),
            planner_accounts: directory(limit),
            planner_version: 1,
            messages: Vec::new(),
            arrivals: VecDeque::new(),
            totals: Totals::default(),
            next_number: 0,
            forgets_silent: false,
        }
    }

    /// Runs for some time with requests that arrive at random at `targets`, `per_s` in all.
    pub fn run(&mut self, millis: u64, per_s: f64, targets: &[usize]) {
        let ends_at = self.now + millis;
        #[allow(clippy::cast_precision_loss)]
        let mean = per_s * STEP_MS as f64 / 1_000.0;
        while self.now < ends_at {
            self.now += STEP_MS;
            self.deliver();
            let mut left = mean;
            while left > 0.0 {
                if self.rng.f64() < left {
                    let target = targets[self.rng.usize(..targets.len())];
                    let cost = request_cost(&mut self.rng);
                    self.arrive(target, cost);
                }
                left -= 1.0;
            }
            for index in 0..self.gateways.len() {
                self.step_gateway(index);
            }
        }
    }

    pub fn set_state(&mut self, targets: &[usize], state: GatewayState) {
        for index in targets {
            self.gateways[*index].state = state;
        }
    }

    /// Starts gateways anew.
    pub fn restart(&mut self, targets: &[usize]) {
        for index in targets {
            let gateway = &mut self.gateways[*index];
            gateway.limiter = AccountLimiter::open(at(self.now), BOUNDS);
            gateway.waiting.clear();
            gateway.asked_at = None;
            gateway.state = GatewayState::Running;
        }
    }

    pub fn stop_planner(&mut self) {
        self.planner = None;
    }

    pub fn start_planner(&mut self) {
        self.planner = Some(AccountIssuer::open(at(self.now), BOUNDS));
    }

    pub fn set_planner_limit(&mut self, version: u64, limit: AccountLimit) {
        self.planner_accounts = directory(limit);
        self.planner_version = version;
    }

    pub fn set_gateway_limit(&mut self, index: usize, version: u64, limit: AccountLimit) {
        let gateway = &mut self.gateways[index];
        gateway.limit = limit;
        gateway.version = version;
        gateway.limiter.apply_limits(version, &directory(limit));
    }

    /// A request arrives at a gateway; a frozen one does not see it.
    pub fn arrive(&mut self, index: usize, cost: u32) {
        self.next_number += 1;
        let gateway = &mut self.gateways[index];
        if gateway.state == GatewayState::Frozen {
            return;
        }
        let wait = AccountWait {
            turn: WaitTurn {
                rank: 1,
                arrived_at: at(self.now),
            },
            number: self.next_number,
            cost,
        };
        let request = WaitingRequest {
            wait,
            since: self.now,
        };
        if self.admit(index, &request) || self.refuse(index, &request) {
            return;
        }
        let gateway = &mut self.gateways[index];
        gateway.is_wanted |= gateway.limiter.begin_wait(&account(), wait);
        gateway.waiting.push(request);
    }

    /// The most that arrived in any window that begins at `from` or later, with the window's start.
    pub fn busiest_window(&self, from: u64) -> (u64, u64) {
        let mut arrivals: Vec<_> = self.arrivals.iter().copied().collect();
        arrivals.sort_unstable();
        let (mut first, mut sum, mut most) = (0, 0_u64, (0, 0));
        for (index, (time, cost)) in arrivals.iter().enumerate() {
            sum += u64::from(*cost);
            while arrivals[first].0 + WINDOW_MS <= *time
                || (arrivals[first].0 < from && first < index)
            {
                sum -= u64::from(arrivals[first].1);
                first += 1;
            }
            if arrivals[first].0 >= from {
                most = most.max((sum, arrivals[first].0));
            }
        }
        most
    }

    fn admit(&mut self, index: usize, request: &WaitingRequest) -> bool {
        let now = at(self.now);
        let gateway = &mut self.gateways[index];
        let limit = gateway.limit;
        let taken = gateway.limiter.take(now, &account(), limit, request.wait);
        if taken.is_none() {
            return false;
        }
        let way_ms = self.rng.u64(1..=62);
        self.arrivals
            .push_back((self.now + way_ms, request.wait.cost));
        self.totals.sent += 1;
        self.totals.waited_ms += self.now - request.since;
        true
    }

    fn refuse(&mut self, index: usize, request: &WaitingRequest) -> bool {
        let now = at(self.now);
        let limiter = &self.gateways[index].limiter;
        let waited_ms = self.now - request.since;
        let left_ms = WAIT_LIMIT_MS.saturating_sub(waited_ms);
        let patience_ms = limiter.patience_ms(now, waited_ms, left_ms);
        let forecast_ms = limiter.forecast_ms(now, &account(), request.wait);
        let is_refused = limiter.is_hopeless(now, forecast_ms, patience_ms);
        self.totals.refused += u32::from(is_refused);
        is_refused
    }

    fn step_gateway(&mut self, index: usize) {
        if self.gateways[index].state == GatewayState::Frozen {
            return;
        }
        self.check_waiting(index);
        self.report(index);
    }

    fn check_waiting(&mut self, index: usize) {
        if !self.now.is_multiple_of(WAIT_CHECK_MS) {
            return;
        }
        for request in std::mem::take(&mut self.gateways[index].waiting) {
            if self.admit(index, &request) || self.refuse(index, &request) {
                let limiter = &mut self.gateways[index].limiter;
                limiter.end_wait(&account(), request.wait);
            } else {
                self.gateways[index].waiting.push(request);
            }
        }
    }

    fn report(&mut self, index: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        if let Some(asked_at) = gateway.asked_at {
            if now < asked_at + CALL_TIMEOUT_MS {
                return;
            }
            gateway.asked_at = None;
        }
        let pause_ms = if gateway.limiter.has_waiting() {
            WAITING_REPORT_MS
        } else {
            REPORT_MS
        };
        if now < gateway.report_at + pause_ms && !gateway.is_wanted {
            return;
        }
        gateway.is_wanted = false;
        gateway.asked_at = Some(now);
        let report = gateway.limiter.take_report(at(now));
        self.totals.reports += 1;
        if !report.is_empty() {
            self.totals.bytes += message_bytes(&report);
        }
        let is_cut = gateway.state == GatewayState::CutOff;
        if !is_cut {
            let due = now + self.rng.u64(1..=62);
            self.messages
                .push((due, Message::Report(index, now, report)));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.messages.len() {
            if self.messages[index].0 <= now {
                due.push(self.messages.swap_remove(index));
            } else {
                index += 1;
            }
        }
        for (_, message) in due {
            match message {
                Message::Report(index, sent_at, report) => self.answer(index, sent_at, &report),
                Message::Answer(index, sent_at, count, version, grants) => {
                    self.hear(index, sent_at, count, version, grants);
                }
            }
        }
    }

    fn answer(&mut self, index: usize, sent_at: u64, report: &AllowanceReport) {
        let Some(planner) = &mut self.planner else {
            // The process of the planner has ended; its address refuses connections.
            self.gateways[index].asked_at = None;
            self.gateways[index].report_at = self.now;
            return;
        };
        let now = at(self.now);
        if self.forgets_silent {
            let empty = AllowanceReport::default();
            for gateway in &self.gateways {
                if gateway.state != GatewayState::Running {
                    let _ = planner.exchange(now, &gateway.name, &empty, &self.planner_accounts);
                }
            }
        }
        let name = &self.gateways[index].name;
        let grants = planner.exchange(now, name, report, &self.planner_accounts);
        if !grants.is_empty() {
            self.totals.bytes += message_bytes(&grants);
        }
        let count = u32::try_from(self.gateways.len()).unwrap_or(u32::MAX);
        let due = self.now + self.rng.u64(1..=62);
        let version = self.planner_version;
        self.messages
            .push((due, Message::Answer(index, sent_at, count, version, grants)));
    }

    fn hear(
        &mut self,
        index: usize,
        sent_at: u64,
        gateway_count: u32,
        version: u64,
        grants: Vec<AllowanceGrant>,
    ) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        match gateway.state {
            GatewayState::CutOff => return,
            GatewayState::Frozen => {
                // The answer stays in the socket until the process goes on.
                let message = Message::Answer(index, sent_at, gateway_count, version, grants);
                self.messages.push((now + 1, message));
                return;
            }
            GatewayState::Running => {}
        }
        // Once the call has timed out its answer is not read.
        if gateway.asked_at != Some(sent_at) {
            return;
        }
        gateway.asked_at = None;
        gateway.report_at = now;
        let answer = PlannerAnswer {
            sent_at: at(sent_at),
            gateway_count,
            version,
            grants: &grants,
        };
        gateway.limiter.record_answer(at(now), &answer);
    }
}
