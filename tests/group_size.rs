//! The size of a control group that forms from seeds, and the size that follows
//! from the tolerated losses. A group that stayed at the size of its seeds would
//! tolerate fewer losses than configured.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswing::control_client::ControlClient;
use cactuswing::roles::{RunningRole, start_control};
use kernel::{SharedClock, SystemClock};
use model::{ControlAnswer, ControlQuery, ControlSettings, read_control_settings};
use serde_json::json;
use standin::StandinHost;

/// Long enough for all hosts to join on a machine under load.
const JOIN_TIMEOUT: Duration = Duration::from_secs(30);

struct SeededGroup {
    roles: Vec<RunningRole>,
    addresses: Vec<SocketAddr>,
    folder: std::path::PathBuf,
}

/// A free port on a loopback address that no other host uses, since hosts are
/// identified by their IP address.
fn address(number: usize) -> SocketAddr {
    let ip = [127, 0, 3, number as u8 + 1];
    let listener = std::net::TcpListener::bind((std::net::Ipv4Addr::from(ip), 0));
    listener.and_then(|listener| listener.local_addr()).expect("a loopback address")
}

impl SeededGroup {
    /// Starts hosts that may all bootstrap the group; the first `seeds` are its seeds.
    fn start(hosts: usize, seeds: usize, tolerated_losses: usize) -> SeededGroup {
        let folder = std::env::temp_dir().join(format!("cactuswing-seeds-{}", std::process::id()));
        let addresses: Vec<SocketAddr> = (0..hosts).map(address).collect();
        let mut group = SeededGroup { roles: Vec::new(), addresses, folder };
        let clock: SharedClock = Arc::new(SystemClock);
        for number in 0..hosts {
            let settings = group.settings(number, seeds, tolerated_losses);
            let role = start_control(&settings, &clock).expect("the control role starts");
            group.roles.push(role);
        }
        group
    }

    fn settings(&self, number: usize, seeds: usize, tolerated_losses: usize) -> ControlSettings {
        let text = json!({
            "name": format!("host-{number}"),
            "domain": "d",
            "listen": self.addresses[number],
            "data_folder": self.folder.join(number.to_string()),
            "seeds": self.addresses[..seeds],
            "found": true,
            "tolerated_losses": tolerated_losses,
            "election_ms": 300,
        });
        read_control_settings(&text.to_string()).expect("valid settings")
    }

    fn wait_for_size(&self, host: &StandinHost, size: usize) -> bool {
        let mut client = ControlClient::new(self.addresses.clone());
        let waiting = async {
            loop {
                if let Ok(ControlAnswer::Status(status)) = client.query(ControlQuery::Status).await
                    && status.group.len() == size
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        host.block_on(async { tokio::time::timeout(JOIN_TIMEOUT, waiting).await }).is_ok()
    }
}

impl Drop for SeededGroup {
    fn drop(&mut self) {
        for role in self.roles.drain(..) {
            role.stop();
        }
        // Best-effort cleanup: nothing needs the data after a run.
        let _removed = std::fs::remove_dir_all(&self.folder);
    }
}

#[test]
fn hosts_beyond_seeds_join() {
    let host = StandinHost::start().expect("runtime starts");
    let group = SeededGroup::start(5, 3, 2);
    assert!(group.wait_for_size(&host, 5), "all five hosts are members");
}

#[test]
fn tolerated_losses_set_size() {
    let sizes = |seeds: usize, tolerated: Option<usize>| {
        let seeds: Vec<String> = (0..seeds).map(|n| format!("127.0.4.{}:7000", n + 1)).collect();
        let mut text = json!({
            "name": "host", "domain": "d", "listen": "127.0.4.1:7000", "data_folder": "d",
            "seeds": seeds,
        });
        if let Some(tolerated) = tolerated {
            text["tolerated_losses"] = json!(tolerated);
        }
        read_control_settings(&text.to_string()).expect("valid settings").target_hosts()
    };
    assert_eq!(sizes(3, Some(2)), Some(5));
    assert_eq!(sizes(3, Some(1)), Some(3));
    assert_eq!(sizes(3, None), Some(3));
    // A group that tolerates no loss keeps its initial size.
    assert_eq!(sizes(3, Some(0)), Some(3));
}
