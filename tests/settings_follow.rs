//! Tests that a node follows the settings in the table stand-in.

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

/// Maximum number of polls of the revision in force before a case fails.
const MAX_POLLS: u32 = 200;

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
        clients: quetzalpin::config::ClientLimits::default(),
    };
    NodeContext::open(config, any_port()).expect("a context")
}

/// The node must not skip rows that it read while the tree was invalid: it reads them again once
/// the tree is valid.
#[compio::test]
async fn rows_of_an_invalid_tree_are_read_again() {
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
    for _ in 0..MAX_POLLS {
        if node.settings.borrow().revision() == 3 {
            break;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(node.settings.borrow().revision(), 3);
    assert_eq!(node.settings.borrow().rows().len(), 2);
}
