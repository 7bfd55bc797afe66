//! Settings from peers.

use std::net::SocketAddr;

use super::NodeContext;
use crate::rpc::ControlApiClient;

/// Asks a peer for its settings rows; older ones are ignored.
pub async fn pull_settings(node: &NodeContext, peer: SocketAddr) {
    match node.rpc(peer).settings().await {
        Ok(rows) => node.apply_settings(rows),
        Err(error) => log::debug!(peer:% = peer, error:% = error; "settings pull failed"),
    }
}
