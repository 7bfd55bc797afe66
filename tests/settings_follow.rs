//! Following settings from the table stand-in.

use std::rc::Rc;
use std::time::Duration;

use quetzalpin::config::NodeConfig;
use quetzalpin::daemon::{NodeContext, spawn_node_loops};
use quetzalpin::prelude::*;
use quetzalpin::settings::{SETTINGS_HEAD_KEY, SettingsHead, SettingsRow, SubtreeName};
use quetzalpin::table::TableTxn;
use quetzalpin_standins::{
    PlatformStandin, SMALL_TEAM_TEXT, StandinHandle, WeightLimits, any_port, small_root_text,
};

/// Looks at the follower before a case gives up.
const LOOKS: u32 = 200;

fn write(platform: &StandinHandle<PlatformStandin>, subtree: &str, revision: u64, text: &str) {
    let subtree = SubtreeName::parse(subtree).expect("a subtree");
    let row = SettingsRow {
        subtree: subtree.clone(),
        revision,
        text: text.to_owned(),
        author: String::new(),
        attempt: AttemptId::new(u128::from(revision)),
    };
    let txn = TableTxn::default()
        .write(&subtree.row_key(), &row)
        .expect("encodes")
        .write(SETTINGS_HEAD_KEY, &SettingsHead { revision })
        .expect("encodes");
    platform.state.table.commit(&txn);
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
        poll_ms: 40,
    };
    NodeContext::open(config, any_port()).expect("a context")
}

/// Rows read while the tree was not valid are read again once it is.
#[compio::test]
async fn rows_that_did_not_come_into_force_are_read_again() {
    let limits = WeightLimits {
        loads_per_ks: 1,
        loads_at_once: 1,
        adapter_loads_at_once: 1,
    };
    let platform = PlatformStandin::spawn(any_port(), limits).await;
    let platform = platform.expect("a platform");
    write(&platform, "root", 1, "[nonsense]");
    write(&platform, "team.potters", 2, SMALL_TEAM_TEXT);
    let node = node(&platform);
    let _loops = spawn_node_loops(&node, 1);
    compio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.settings.borrow().revision(), 0);
    write(&platform, "root", 3, &small_root_text(1));
    for _ in 0..LOOKS {
        if node.settings.borrow().revision() == 3 {
            break;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(node.settings.borrow().revision(), 3);
    assert_eq!(node.settings.borrow().rows().len(), 2);
}
