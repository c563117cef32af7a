//! Fixture of a control group that forms from seeds, with all its hosts in this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswing::control_client::ControlClient;
use cactuswing::roles::{DrainEnd, RunningRole, start_control};
use kernel::{SharedClock, SystemClock};
use model::{ControlAnswer, ControlQuery, ControlSettings, ControlStatus, read_control_settings};
use serde_json::json;
use standin::StandinHost;

/// Long enough for all hosts to join on a machine under load.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

/// The hosts of a group. Each test uses a subnet of its own, since hosts are identified by
/// their IP address.
pub(crate) struct SeededGroup {
    subnet: u8,
    seeds: usize,
    tolerated_losses: usize,
    roles: Vec<Option<RunningRole>>,
    pub(crate) addresses: Vec<SocketAddr>,
    folder: std::path::PathBuf,
}

impl SeededGroup {
    /// Starts hosts that may all bootstrap the group; the first `seeds` are its seeds.
    pub(crate) fn start(
        subnet: u8,
        hosts: usize,
        seeds: usize,
        tolerated_losses: usize,
    ) -> SeededGroup {
        let name = format!("cactuswing-seeds-{}-{subnet}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let (roles, addresses) = (Vec::new(), Vec::new());
        let mut group = SeededGroup { subnet, seeds, tolerated_losses, roles, addresses, folder };
        for _ in 0..hosts {
            group.reserve_address();
        }
        for number in 0..hosts {
            group.start_host(number, true);
        }
        group
    }

    /// Reserves a free port on a loopback address that no other host uses; returns the
    /// host's number.
    fn reserve_address(&mut self) -> usize {
        let number = self.addresses.len();
        let ip = [127, 0, self.subnet, number as u8 + 1];
        let listener = std::net::TcpListener::bind((std::net::Ipv4Addr::from(ip), 0));
        let address = listener.and_then(|listener| listener.local_addr());
        self.addresses.push(address.expect("a loopback address"));
        self.roles.push(None);
        number
    }

    fn start_host(&mut self, number: usize, bootstrap: bool) {
        let clock: SharedClock = Arc::new(SystemClock);
        let settings = self.settings(number, bootstrap);
        let role = start_control(&settings, &clock).expect("the control role starts");
        self.roles[number] = Some(role);
    }

    fn settings(&self, number: usize, bootstrap: bool) -> ControlSettings {
        let text = json!({
            "name": format!("host-{number}"),
            "domain": "d",
            "listen": self.addresses[number],
            "data_folder": self.folder.join(number.to_string()),
            "seeds": self.addresses[..self.seeds],
            "found": bootstrap,
            "tolerated_losses": self.tolerated_losses,
            "election_ms": 300,
        });
        read_control_settings(&text.to_string()).expect("valid settings")
    }

    /// Starts a host that is not a member yet, and returns its number.
    pub(crate) fn add_host(&mut self) -> usize {
        let number = self.reserve_address();
        self.start_host(number, false);
        number
    }

    /// Ends a host as SIGTERM does.
    pub(crate) fn drain(&mut self, number: usize) -> DrainEnd {
        self.roles[number].take().expect("the host runs").drain()
    }

    /// Ends a host at once.
    pub(crate) fn stop(&mut self, number: usize) {
        self.roles[number].take().expect("the host runs").stop();
    }

    /// Starts a host again, with its disk.
    pub(crate) fn restart(&mut self, number: usize) {
        self.start_host(number, false);
    }

    /// Starts a host again, without its disk.
    pub(crate) fn restart_empty(&mut self, number: usize) {
        std::fs::remove_dir_all(self.folder.join(number.to_string())).expect("it has a folder");
        self.start_host(number, false);
    }

    /// Waits until the leader reports a group that meets a condition, and returns its status.
    pub(crate) fn wait_until(
        &self,
        host: &StandinHost,
        meets: impl Fn(&ControlStatus) -> bool,
    ) -> Option<ControlStatus> {
        let mut client = ControlClient::new(self.addresses.clone());
        let waiting = async {
            loop {
                if let Ok(ControlAnswer::Status(status)) = client.query(ControlQuery::Status).await
                    && meets(&status)
                {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        host.block_on(async { tokio::time::timeout(JOIN_TIMEOUT, waiting).await }).ok()
    }

    pub(crate) fn wait_for_size(&self, host: &StandinHost, size: usize) -> bool {
        self.wait_until(host, |status| status.group.len() == size).is_some()
    }

    /// Number of the host that leads.
    pub(crate) fn leader(&self, host: &StandinHost) -> usize {
        let status = self.wait_until(host, |_| true).expect("the group has a leader");
        let leader = status.group.iter().find(|peer| peer.name == status.host);
        let address = leader.expect("the leader is a member").address;
        self.addresses.iter().position(|known| *known == address).expect("it is known")
    }
}

impl Drop for SeededGroup {
    fn drop(&mut self) {
        for role in self.roles.drain(..).flatten() {
            role.stop();
        }
        // Best-effort cleanup: nothing needs the data after a run.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}
