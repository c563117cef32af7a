//! Owns the search for the leading control host: tries the known hosts in turn
//! and follows redirects to the leader.

use std::net::SocketAddr;
use std::time::Duration;

/// Delay before the next host is tried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The known control hosts, and the one to try next.
pub(crate) struct LeaderFinder {
    controls: Vec<SocketAddr>,
    /// Position of the next host in `controls`, modulo its length.
    next_host: usize,
}

impl LeaderFinder {
    pub(crate) fn new(controls: Vec<SocketAddr>) -> LeaderFinder {
        LeaderFinder { controls, next_host: 0 }
    }

    /// Connects to the first host that accepts a connection. `open` connects to one
    /// host and returns `None` if it can't be reached.
    pub(crate) async fn connect<C>(
        &mut self,
        open: impl AsyncFn(SocketAddr) -> Option<C>,
    ) -> (SocketAddr, C) {
        loop {
            let address = self.controls[self.next_host % self.controls.len()];
            if let Some(connection) = open(address).await {
                return (address, connection);
            }
            self.next_host += 1;
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Chooses the next host after one that is not the leader or was lost: the
    /// leader if that host named it, the next one in turn otherwise. A leader
    /// that is missing from the settings is added to the known hosts.
    pub(crate) async fn advance(&mut self, leader: Option<SocketAddr>) {
        match leader {
            Some(leader) => {
                let known = self.controls.iter().position(|address| *address == leader);
                self.next_host = known.unwrap_or_else(|| {
                    self.controls.push(leader);
                    self.controls.len() - 1
                });
            }
            None => self.next_host += 1,
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
