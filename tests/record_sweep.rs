//! Deletion of expired run rows, against the table stand-in.

use std::rc::Rc;

use quetzalpin::agent::sweep_shard;
use quetzalpin::config::NodeConfig;
use quetzalpin::daemon::NodeContext;
use quetzalpin::prelude::*;
use quetzalpin::quarantine::RequestFingerprint;
use quetzalpin::run_once::{RunKey, RunRow, RunState};
use quetzalpin::table::{RowRevision, TableTxn};
use quetzalpin_standins::{PlatformStandin, StandinHandle, WeightLimits, any_port};

async fn platform() -> StandinHandle<PlatformStandin> {
    let limits = WeightLimits {
        loads_per_ks: 1,
        loads_at_once: 1,
        adapter_loads_at_once: 1,
    };
    PlatformStandin::spawn(any_port(), limits)
        .await
        .expect("the platform stand-in starts")
}

fn node(platform: &StandinHandle<PlatformStandin>) -> Rc<NodeContext> {
    let config = NodeConfig {
        instance: InstanceName::from("a"),
        zone: ZoneName::from("z"),
        region: RegionName::from("r"),
        listen: any_port(),
        advertise: None,
        drain_ms: 0,
        table: platform.address(),
        members: platform.address(),
        timeout_ms: 5_000,
        poll_ms: 1_000,
        clients: quetzalpin::config::ClientLimits::default(),
    };
    NodeContext::open(config, any_port()).expect("the node context opens")
}

fn row(changed_unix_s: u64) -> RunRow {
    RunRow {
        fingerprint: RequestFingerprint(1),
        state: RunState::Open,
        voided: Vec::new(),
        changed_unix_s,
    }
}

#[compio::test]
async fn only_expired_rows_are_deleted() {
    let platform = platform().await;
    let node = node(&platform);
    let now_unix_s = quetzalpin::decision::unix_ms() / 1_000;
    let key = |name: &str| RunKey {
        team: TeamName::from("t"),
        key: name.to_owned(),
    };
    let old = key("old");
    let recent = (0..1_000_000)
        .map(|number| key(&number.to_string()))
        .find(|key| key.shard() == old.shard())
        .expect("one of the keys falls into the same shard");
    let txn = TableTxn::default()
        .write(&old.to_string(), &row(now_unix_s - 4_000))
        .expect("the row encodes")
        .write(&recent.to_string(), &row(now_unix_s))
        .expect("the row encodes");
    platform.state.table.commit(&txn);
    let deleted = sweep_shard(&node, old.shard(), 3_600_000).await;
    assert_eq!(deleted.expect("the table answers"), 1);
    let read = |key: &RunKey| platform.state.table.read(&key.to_string()).revision;
    assert_eq!(read(&old), RowRevision::ABSENT);
    assert_ne!(read(&recent), RowRevision::ABSENT);
}
