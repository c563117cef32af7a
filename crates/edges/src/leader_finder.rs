//! Finds the control host that leads: tries the known hosts in turn and goes
//! where one of them points.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::ws_client::WsClient;

use crate::peer_connection::connect;

/// Pause after a host that did not lead.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The control hosts, and which of them to try next.
pub(crate) struct LeaderFinder {
    controls: Vec<SocketAddr>,
    next: usize,
}

impl LeaderFinder {
    pub(crate) fn new(controls: Vec<SocketAddr>) -> LeaderFinder {
        LeaderFinder { controls, next: 0 }
    }

    /// Connects to the first host that takes a connection.
    pub(crate) async fn connect(&mut self) -> (SocketAddr, Arc<WsClient>) {
        loop {
            let address = self.controls[self.next % self.controls.len()];
            if let Some(client) = connect(address).await {
                return (address, client);
            }
            self.next += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// A host did not lead or was lost; it may have named the leader, which is
    /// remembered even when no settings name it.
    pub(crate) async fn lost(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                let known = self.controls.iter().position(|address| *address == leader);
                self.next = known.unwrap_or_else(|| {
                    self.controls.push(leader);
                    self.controls.len() - 1
                });
            }
            None => self.next += 1,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
