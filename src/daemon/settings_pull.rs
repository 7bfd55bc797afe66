//! Pulls settings from peers.

use std::net::SocketAddr;

use super::NodeContext;
use crate::rpc::ControlApiClient;

/// Reads the settings rows of a peer and applies them; older rows are ignored.
pub async fn pull_settings(node: &NodeContext, peer: SocketAddr) {
    match node.rpc(peer).settings().await {
        Ok(rows) => node.apply_settings(rows),
        Err(error) => log::debug!(peer:% = peer, error:% = error; "settings pull failed"),
    }
}
