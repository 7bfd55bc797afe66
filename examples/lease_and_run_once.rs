//! Embeds a lease and the run-once record, stored in the embedder's own table.
//!
//! Run with `cargo run --example lease_and_run_once`.

use std::net::SocketAddr;

use quetzalpin::lease::LeaseHolder;
use quetzalpin::prelude::*;
use quetzalpin::quarantine::RequestFingerprint;
use quetzalpin::run_once::{AttemptTransitions, RecordedAnswer, RunRow, StartStep};
use quetzalpin::table::RowRevision;

/// Term of the lease.
const TERM_MS: u64 = 6_000;

/// Table with a single versioned row, in place of the embedder's own table.
struct SingleRowTable<T> {
    revision: RowRevision,
    row: Option<T>,
}

impl<T> SingleRowTable<T> {
    const fn new() -> Self {
        Self {
            revision: RowRevision::ABSENT,
            row: None,
        }
    }

    /// Compare-and-set: writes the row and returns its new revision, or returns `None` if the
    /// current revision is not the expected one.
    fn commit(&mut self, expected: RowRevision, row: T) -> Option<RowRevision> {
        if self.revision != expected {
            return None;
        }
        self.revision = RowRevision(self.revision.0 + 1);
        self.row = Some(row);
        Some(self.revision)
    }
}

fn main() {
    acquire_lease();
    run_twice();
}

fn acquire_lease() {
    let mut table = SingleRowTable::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut holder = LeaseHolder::open(InstanceName::from("a"), address, 1, TERM_MS);
    let now = MonoTime::from_millis(0);
    holder.observe(now, table.revision, table.row.clone());
    if let Some(intent) = holder.intent(now, true)
        && let Some(revision) = table.commit(intent.expected, intent.row.clone())
    {
        holder.record_commit(now, &intent, revision);
    }
    for millis in [0, TERM_MS / 2, TERM_MS] {
        let is_held = holder.is_held(MonoTime::from_millis(millis));
        println!("lease held {millis} ms after the write was sent: {is_held}");
    }
}

fn run_twice() {
    let mut table: SingleRowTable<RunRow> = SingleRowTable::new();
    for number in [1, 2] {
        let transitions = AttemptTransitions {
            attempt: AttemptId::new(number),
            fingerprint: RequestFingerprint(17),
            unix_s: 0,
        };
        match transitions.start(table.row.as_ref()) {
            StartStep::Write(row) => {
                let is_ours = table.commit(table.revision, row).is_some();
                println!("attempt {number}: may run: {is_ours}");
                let answer = RecordedAnswer {
                    status: 200,
                    content_type: "text/plain".to_owned(),
                    body: "certificate 1".to_owned(),
                };
                if let Some(done) = transitions.finish(table.row.as_ref(), answer) {
                    table.commit(table.revision, done);
                }
            }
            StartStep::Replay(answer) => {
                println!(
                    "attempt {number}: already run, replaying the answer: {}",
                    answer.body
                );
            }
            other => println!("attempt {number}: {other:?}"),
        }
    }
}
