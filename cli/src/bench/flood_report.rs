//! Counts of a flood by phase and rank.

use std::time::Duration;

use quetzalpin_standins::CallOutcome;

use super::example_fleet::ChatRank;
use super::latency_histogram::{LatencyHistogram, millis_text};

/// Part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodPhase {
    /// Before.
    Calm,
    /// While it floods.
    Flood,
    /// After.
    Recovery,
}

/// Counts of one rank in one phase, by the time of sending.
#[derive(Clone)]
pub struct RankCounts {
    phase: FloodPhase,
    rank: ChatRank,
    sent: u64,
    in_time: u64,
    late: u64,
    given_up: u64,
    lost: u64,
    /// Answers in time that came in this phase, whenever they were asked for.
    served: u64,
    answers: LatencyHistogram,
    refusals: LatencyHistogram,
}

impl RankCounts {
    fn open(phase: FloodPhase, rank: ChatRank) -> Self {
        Self {
            phase,
            rank,
            sent: 0,
            in_time: 0,
            late: 0,
            given_up: 0,
            lost: 0,
            served: 0,
            answers: LatencyHistogram::new(),
            refusals: LatencyHistogram::new(),
        }
    }

    /// Counts a request; its resend is not counted again.
    pub const fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Counts an answer.
    pub fn count_answer(&mut self, outcome: &CallOutcome, is_in_time: bool) {
        if is_in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        self.answers.add(outcome.total);
    }

    /// Counts an answer in time that came in this phase.
    pub const fn count_served(&mut self) {
        self.served += 1;
    }

    /// Counts a refusal and the time until it came.
    pub fn count_refusal(&mut self, after: Duration) {
        self.refusals.add(after);
    }

    /// Counts a request that was refused twice.
    pub const fn count_given_up(&mut self) {
        self.given_up += 1;
    }

    /// Counts a request that was neither answered whole nor refused as not run.
    pub const fn count_lost(&mut self) {
        self.lost += 1;
    }
}

/// Worth of one request served in time, as the example settings have it.
const fn worth(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 20,
        ChatRank::Normal => 5,
        ChatRank::Background => 1,
    }
}

/// Percent of the capacity that a rank keeps, as the example settings have it.
const fn floor_percent(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 0,
        ChatRank::Normal => 20,
        ChatRank::Background => 10,
    }
}

/// All counts of a run.
#[derive(Clone)]
pub struct FloodReport {
    seconds: u64,
    phases: Vec<RankCounts>,
}

impl FloodReport {
    /// Opens empty counts for phases of the given length.
    pub fn open(seconds: u64) -> Self {
        let mut phases = Vec::new();
        for phase in [FloodPhase::Calm, FloodPhase::Flood, FloodPhase::Recovery] {
            for rank in [ChatRank::Urgent, ChatRank::Normal, ChatRank::Background] {
                phases.push(RankCounts::open(phase, rank));
            }
        }
        Self { seconds, phases }
    }

    /// Counts of one rank in one phase.
    ///
    /// # Panics
    /// Never: all phases and ranks are there from the start.
    pub fn counts(&mut self, phase: FloodPhase, rank: ChatRank) -> &mut RankCounts {
        let mut phases = self.phases.iter_mut();
        phases
            .find(|counts| counts.phase == phase && counts.rank == rank)
            .expect("all phases and ranks are there")
    }

    /// Prints the table, and the worth served in the flood against what capacity allows.
    pub fn print(&self, capacity_per_ks: u64) {
        println!(
            "{:<9} {:<11} {:>6} {:>8} {:>5} {:>8} {:>5} {:>6} {:>7} {:>9} {:>9} {:>9} {:>18}",
            "phase",
            "rank",
            "sent",
            "in time",
            "late",
            "given up",
            "lost",
            "hit %",
            "floor %",
            "p50 ms",
            "p95 ms",
            "p99 ms",
            "refused p50/p95"
        );
        for counts in &self.phases {
            self.print_row(counts, capacity_per_ks);
        }
        let flood = self.phases.iter().filter(|c| c.phase == FloodPhase::Flood);
        let served: u64 = flood.map(|c| c.served * worth(c.rank)).sum();
        let allowed = self.best_worth(capacity_per_ks);
        println!(
            "worth served in the flood: {} % of what capacity allows",
            served * 100 / allowed.max(1)
        );
    }

    fn print_row(&self, counts: &RankCounts, capacity_per_ks: u64) {
        let floor = capacity_per_ks * self.seconds * floor_percent(counts.rank) / 100_000;
        let kept = match counts.served * 100 {
            0 if floor > 0 => "0".to_owned(),
            served => served
                .checked_div(floor)
                .map_or_else(|| "-".to_owned(), |percent| percent.to_string()),
        };
        let hit = counts.in_time * 1_000 / counts.sent.max(1);
        println!(
            "{:<9} {:<11} {:>6} {:>8} {:>5} {:>8} {:>5} {:>6} {:>7} {:>9} {:>9} {:>9} {:>18}",
            format!("{:?}", counts.phase).to_lowercase(),
            format!("{:?}", counts.rank).to_lowercase(),
            counts.sent,
            counts.in_time,
            counts.late,
            counts.given_up,
            counts.lost,
            format!("{}.{}", hit / 10, hit % 10),
            kept,
            millis_text(counts.answers.micros_at(50.0)),
            millis_text(counts.answers.micros_at(95.0)),
            millis_text(counts.answers.micros_at(99.0)),
            format!(
                "{}/{}",
                millis_text(counts.refusals.micros_at(50.0)),
                millis_text(counts.refusals.micros_at(95.0))
            ),
        );
    }

    /// The most worth that the flood's requests could bring: floors first, then the worthiest.
    fn best_worth(&self, capacity_per_ks: u64) -> u64 {
        let capacity = capacity_per_ks * self.seconds / 1_000;
        let counted: Vec<&RankCounts> = self
            .phases
            .iter()
            .filter(|counts| counts.phase == FloodPhase::Flood)
            .collect();
        let mut left = capacity;
        let mut total = 0;
        let mut rest = Vec::new();
        for counts in &counted {
            let floor = (capacity * floor_percent(counts.rank) / 100).min(counts.sent);
            total += floor * worth(counts.rank);
            left = left.saturating_sub(floor);
            rest.push((worth(counts.rank), counts.sent - floor));
        }
        rest.sort_by(|a, b| b.cmp(a));
        for (worth, count) in rest {
            let served = count.min(left);
            total += served * worth;
            left -= served;
        }
        total
    }
}
