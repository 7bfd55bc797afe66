//! Request counts and latencies of a flood benchmark by phase and rank.

use std::time::Duration;

use quetzalpin_standins::CallOutcome;

use super::example_fleet::ChatRank;
use super::latency_histogram::{LatencyHistogram, millis_text};

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodPhase {
    /// Base load before the flood.
    Calm,
    /// Base load plus the flood.
    Flood,
    /// Base load after the flood.
    Recovery,
}

/// Counts of one rank in one phase; requests count for the phase in which they were sent.
#[derive(Clone)]
pub struct RankCounts {
    phase: FloodPhase,
    rank: ChatRank,
    sent: u64,
    in_time: u64,
    late: u64,
    given_up: u64,
    lost: u64,
    /// Answers in time that arrived in this phase, regardless of when they were sent.
    served: u64,
    answers: LatencyHistogram,
    refusals: LatencyHistogram,
}

impl RankCounts {
    fn new(phase: FloodPhase, rank: ChatRank) -> Self {
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

    /// Counts a request; a retry is not counted again.
    pub const fn count_sent(&mut self) {
        self.sent += 1;
    }

    /// Counts an answer and records its latency.
    pub fn count_answer(&mut self, outcome: &CallOutcome, is_in_time: bool) {
        if is_in_time {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
        self.answers.add(outcome.total);
    }

    /// Counts an answer in time that arrived in this phase.
    pub const fn count_served(&mut self) {
        self.served += 1;
    }

    /// Records the latency of a refusal.
    pub fn count_refusal(&mut self, after: Duration) {
        self.refusals.add(after);
    }

    /// Counts a request whose retry was refused as well.
    pub const fn count_given_up(&mut self) {
        self.given_up += 1;
    }

    /// Counts a request that was neither answered completely nor refused as not run.
    pub const fn count_lost(&mut self) {
        self.lost += 1;
    }
}

/// Worth of one request served in time; matches the example settings.
const fn worth(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 20,
        ChatRank::Normal => 5,
        ChatRank::Background => 1,
    }
}

/// Share of the capacity guaranteed to a rank in percent; matches the example settings.
const fn floor_percent(rank: ChatRank) -> u64 {
    match rank {
        ChatRank::Urgent => 0,
        ChatRank::Normal => 20,
        ChatRank::Background => 10,
    }
}

/// Counts of a run for every phase and rank.
#[derive(Clone)]
pub struct FloodReport {
    phase_s: u64,
    rank_counts: Vec<RankCounts>,
}

impl FloodReport {
    /// Creates zero counts for phases of the given duration.
    pub fn new(phase_s: u64) -> Self {
        let mut rank_counts = Vec::new();
        for phase in [FloodPhase::Calm, FloodPhase::Flood, FloodPhase::Recovery] {
            for rank in [ChatRank::Urgent, ChatRank::Normal, ChatRank::Background] {
                rank_counts.push(RankCounts::new(phase, rank));
            }
        }
        Self {
            phase_s,
            rank_counts,
        }
    }

    /// Returns the counts of one rank in one phase.
    ///
    /// # Panics
    /// Never: `new` creates the counts of every phase and rank.
    pub fn counts(&mut self, phase: FloodPhase, rank: ChatRank) -> &mut RankCounts {
        let mut rank_counts = self.rank_counts.iter_mut();
        rank_counts
            .find(|counts| counts.phase == phase && counts.rank == rank)
            .expect("counts exist for every phase and rank")
    }

    /// Prints the counts, and the worth served in the flood as a share of what the capacity allows.
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
        for counts in &self.rank_counts {
            self.print_row(counts, capacity_per_ks);
        }
        let flood_counts = self
            .rank_counts
            .iter()
            .filter(|c| c.phase == FloodPhase::Flood);
        let served: u64 = flood_counts.map(|c| c.served * worth(c.rank)).sum();
        let max_worth = self.max_worth(capacity_per_ks);
        println!(
            "worth served in the flood: {} % of what capacity allows",
            served * 100 / max_worth.max(1)
        );
    }

    fn print_row(&self, counts: &RankCounts, capacity_per_ks: u64) {
        let floor = capacity_per_ks * self.phase_s * floor_percent(counts.rank) / 100_000;
        let served_percent_of_floor = match counts.served * 100 {
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
            served_percent_of_floor,
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

    /// Maximum worth of the flood's requests within the capacity: floors first, then by descending
    /// worth.
    fn max_worth(&self, capacity_per_ks: u64) -> u64 {
        let capacity = capacity_per_ks * self.phase_s / 1_000;
        let flood_counts: Vec<&RankCounts> = self
            .rank_counts
            .iter()
            .filter(|counts| counts.phase == FloodPhase::Flood)
            .collect();
        let mut free_capacity = capacity;
        let mut total = 0;
        let mut above_floor = Vec::new();
        for counts in &flood_counts {
            let floor = (capacity * floor_percent(counts.rank) / 100).min(counts.sent);
            total += floor * worth(counts.rank);
            free_capacity = free_capacity.saturating_sub(floor);
            above_floor.push((worth(counts.rank), counts.sent - floor));
        }
        above_floor.sort_by(|a, b| b.cmp(a));
        for (worth, count) in above_floor {
            let served = count.min(free_capacity);
            total += served * worth;
            free_capacity -= served;
        }
        total
    }
}
