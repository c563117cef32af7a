//! The operator's calls that evacuate a failure domain. Guards against a repeated call that is
//! refused, a redirect that loses the domain, a name that is committed although no domain can
//! have it, and an acknowledged call that a loss of power undoes.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use model::{Command, CommandResult, ControlReplyBody};
use serde_json::json;
use standin::{LeaseServer, RawResponse, raw_call};

use crate::deployed_group::{DeployedGroup, RoleHost, SERVICE, redirect_target};
use crate::operator_redirects::{ask_front, control_host, not_leader};
use crate::queue_path::config_body;

const PATH: &str = "/cactuswing/evacuation/d0";

fn committed() -> ControlReplyBody {
    ControlReplyBody::Results(vec![CommandResult::Done])
}

fn set_evacuation(is_evacuated: bool) -> Command {
    Command::SetEvacuation { domain: "d0".into(), is_evacuated }
}

#[test]
fn commits_are_acknowledged() {
    for (method, is_evacuated) in [("POST", true), ("DELETE", false)] {
        let answer = ask_front(&format!("{method} {PATH}"), committed());
        assert!(answer.text.starts_with("HTTP/1.1 200"), "{}", answer.text);
        assert_eq!(answer.commands, [set_evacuation(is_evacuated)]);
    }
}

#[test]
fn leader_named_with_domain() {
    for method in ["POST", "DELETE"] {
        let answer = ask_front(&format!("{method} {PATH}"), not_leader(Some(control_host(2)))).text;
        assert!(answer.starts_with("HTTP/1.1 307"), "{answer}");
        assert!(answer.contains(&format!("http://10.1.0.2:8000{PATH}\r\n")), "{answer}");
    }
}

#[test]
fn unclear_is_unavailable() {
    let own_name = not_leader(Some(control_host(1)));
    for body in [ControlReplyBody::Unknown, not_leader(None), own_name] {
        let answer = ask_front(&format!("POST {PATH}"), body).text;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
}

#[test]
fn invalid_domains_refused() {
    let long = "d".repeat(200);
    for domain in ["", "a/b", "d%200", "d,1", "d0/", &long] {
        for method in ["POST", "DELETE"] {
            let request = format!("{method} /cactuswing/evacuation/{domain}");
            let answer = ask_front(&request, committed());
            assert!(answer.text.starts_with("HTTP/1.1 400"), "{domain}: {}", answer.text);
            assert_eq!(answer.commands, [], "{domain}");
        }
    }
}

const CONTROLS: usize = 3;
const AGENTS: usize = 3;
const CPU_MILLI: u64 = 4_000;
/// Time after which a caller or operator goes on to another attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const PAUSE: Duration = Duration::from_millis(50);
/// Attempts at a call until the test fails.
const MAX_ATTEMPTS: usize = 400;

/// A deployment with one backend server in each of the domains d0, d1 and d2.
struct ZonedGroup {
    group: DeployedGroup,
    servers: Vec<LeaseServer>,
    jobs: u64,
}

impl ZonedGroup {
    fn start() -> ZonedGroup {
        let group = DeployedGroup::start(CONTROLS, 1, AGENTS);
        let start = |agent| {
            let shape = group.server_shape(agent, format!("i-{agent}"), CPU_MILLI);
            LeaseServer::start(shape).expect("the address is free")
        };
        let servers = (0..AGENTS).map(start).collect();
        ZonedGroup { group, servers, jobs: 0 }
    }

    /// Calls one control host after another, and the leaders that they name, until one
    /// acknowledges. No answer may be a refusal.
    fn call_control(&self, first: usize, method: &str, path: &str, body: &[u8]) {
        for attempt in 0..MAX_ATTEMPTS {
            let host = RoleHost::Control((first + attempt) % CONTROLS);
            let address = self.group.control_address(host);
            let response = self.call_host(address, method, path, body);
            match response.map(|response| response.status) {
                Some(200) => return,
                Some(status @ 400..500) => panic!("{method} {path} was refused: {status}"),
                _ => std::thread::sleep(PAUSE),
            }
        }
        panic!("no control host has acknowledged {method} {path}");
    }

    fn call_host(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<RawResponse> {
        let call = |address| {
            raw_call(address, method, path, &[("Host", "control")], body, CALL_TIMEOUT).ok()
        };
        let response = call(address)?;
        match (response.status, redirect_target(&response)) {
            (307, Some(leader)) => call(leader),
            _ => Some(response),
        }
    }

    /// Submits a new job that fills all servers for a moment, if they are all open.
    fn submit(&mut self, best_effort: bool) -> Option<u16> {
        self.jobs += 1;
        let step = json!({ "count": 12, "cpu": 1_000, "mem_mb": 1, "estimate_ms": 100 });
        let body =
            json!({ "spec": "ms=100 cpu=1000", "steps": [step], "best_effort": best_effort });
        let path = format!("/x/{:016x}", self.jobs);
        let headers = [("Host", "a.example"), ("Cactuswing-Deadline-Ms", "4000")];
        let body = body.to_string().into_bytes();
        let sent = raw_call(self.group.front(0), "POST", &path, &headers, &body, CALL_TIMEOUT * 3);
        sent.ok().map(|response| response.status)
    }

    /// Submits new jobs until this many have been answered 200.
    fn submit_until(&mut self, served: usize, best_effort: bool) {
        let mut done = 0;
        for _attempt in 0..MAX_ATTEMPTS {
            match self.submit(best_effort) {
                Some(200) => done += 1,
                _ => std::thread::sleep(PAUSE),
            }
            if done == served {
                return;
            }
        }
        panic!("{done} of {served} jobs were served");
    }

    fn hosts() -> impl Iterator<Item = RoleHost> {
        let controls = (0..CONTROLS).map(RoleHost::Control);
        controls.chain((0..AGENTS).map(RoleHost::Agent)).chain([RoleHost::Entry(0)])
    }

    /// Waits until the log of the entry shows this text.
    fn await_line(&self, text: &str) {
        let log = self.group.folder().join("entry-0.log");
        for _attempt in 0..MAX_ATTEMPTS {
            let lines = std::fs::read_to_string(&log).unwrap_or_default();
            if lines.contains(text) {
                return;
            }
            std::thread::sleep(PAUSE);
        }
        panic!("the entry has not logged {text}");
    }

    /// Kills all processes, and starts them again.
    fn lose_power(&mut self) {
        for host in ZonedGroup::hosts() {
            self.group.kill(host);
        }
        for host in ZonedGroup::hosts() {
            self.group.restart(host);
        }
    }
}

impl Drop for ZonedGroup {
    /// Ends the backend servers and waits until their addresses are free: another deployment of
    /// this program may use the same ones.
    fn drop(&mut self) {
        for server in &self.servers {
            server.crash();
            let is_free = || TcpListener::bind(server.shape().address).is_ok();
            let mut attempts = 0..MAX_ATTEMPTS;
            while !is_free() && attempts.next().is_some() {
                std::thread::sleep(PAUSE);
            }
        }
    }
}

#[test]
fn power_loss_keeps_evacuation() {
    let mut zoned = ZonedGroup::start();
    let mut config = config_body(1);
    config["routes"][0]["service"] = json!(SERVICE);
    config["services"][0]["name"] = json!(SERVICE);
    zoned.call_control(0, "PUT", "/cactuswing/config", config.to_string().as_bytes());
    for host in 0..CONTROLS {
        zoned.call_control(host, "POST", PATH, b"");
    }
    zoned.await_line("domains=d0 ");
    zoned.lose_power();
    zoned.submit_until(3, true);
    zoned.submit_until(3, false);
    zoned.submit_until(3, true);
    assert_eq!(zoned.servers[0].runs().len(), 0, "nothing starts in the evacuated domain");
    assert!(!zoned.servers[1].runs().is_empty() && !zoned.servers[2].runs().is_empty());
    zoned.call_control(1, "DELETE", PATH, b"");
    zoned.call_control(2, "DELETE", PATH, b"");
    zoned.await_line("domains=\"\" ");
    for _attempt in 0..MAX_ATTEMPTS {
        if !zoned.servers[0].runs().is_empty() {
            return;
        }
        zoned.submit(true);
    }
    panic!("the domain is not in use again");
}
