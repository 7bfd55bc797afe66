//! Embeds the admission queue: urgent requests are served first, background requests keep a
//! guaranteed minimum share.
//!
//! Run with `cargo run --example admission_queue`.

use quetzalpin::admission::{QueuePolicy, RankKey, RankShare, WorkItem, WorkQueue};
use quetzalpin::prelude::*;

/// Maximum number of queued requests.
const CAPACITY: usize = 1_000;

/// Number of requests of each rank, and of requests served.
const REQUESTS: u64 = 100;

fn rank_share(name: &str, floor_percent: u32) -> RankShare {
    RankShare {
        name: RankName::from(name),
        floor_percent,
    }
}

fn work_item(rank: RankKey, number: u64) -> WorkItem {
    WorkItem {
        rank,
        team: TeamName::from("potters"),
        share: 1,
        deadline: MonoTime::from_millis(1_000 + number),
        service_ms: 20,
        needed_ms: 20,
        replica: None,
        is_suspect: false,
    }
}

fn main() {
    let ranks = vec![rank_share("urgent", 0), rank_share("background", 10)];
    let mut queue: WorkQueue<u64> = WorkQueue::open(ranks, CAPACITY, QueuePolicy::RankFloors);
    for number in 0..REQUESTS {
        for rank in [RankKey(0), RankKey(1)] {
            if queue.push(work_item(rank, number), number).is_err() {
                println!("queue full, request rejected");
            }
        }
    }
    let mut served = [0; 2];
    for _ in 0..REQUESTS {
        if let Some((item, _)) = queue.pop(|_| true) {
            served[item.rank.0] += 1;
        }
    }
    println!(
        "of {REQUESTS} served: urgent {}, background {}",
        served[0], served[1]
    );
}
