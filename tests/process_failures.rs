//! Failures of real processes under load: SIGKILL, SIGSTOP, loss of a data
//! folder, graceful drain and cold start. The outcome reported for each
//! submission is compared with the task starts that backend servers recorded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cactuswing::control_client::ControlClient;
use model::{Command, CommandResult, ControlAnswer, ControlQuery, Ran};
use rustix::process::Signal;
use standin::{BackendServer, BackendShape, Caller, StandinHost, StartRecords};

use crate::process_group::ProcessGroup;
use crate::support::{small_config, task_body};

/// The outcome of one submission as its caller knows it.
#[derive(Debug, Clone, PartialEq)]
enum CallOutcome {
    Completed,
    NotRun(String),
    RanAndFailed(String),
    Unknown(String),
}

/// Callers that submit requests continuously while processes fail.
struct LoadGenerator {
    stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<BTreeMap<String, CallOutcome>>>,
    completed: Arc<AtomicUsize>,
    callers: Vec<tokio::task::JoinHandle<()>>,
}

const CALLER_COUNT: usize = 6;
/// Attempts for one submission, each at the next entry.
const MAX_ATTEMPTS: usize = 40;
/// Time after which a caller abandons an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
const RETRY_PAUSE: Duration = Duration::from_millis(150);

impl LoadGenerator {
    fn start(host: &StandinHost, entries: &[SocketAddr]) -> LoadGenerator {
        let stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(BTreeMap::new()));
        let completed = Arc::new(AtomicUsize::new(0));
        let mut callers = Vec::new();
        for caller in 0..CALLER_COUNT {
            let (stopped, outcomes, completed) =
                (Arc::clone(&stopped), Arc::clone(&outcomes), Arc::clone(&completed));
            let entries = entries.to_vec();
            callers.push(host.handle().spawn(async move {
                let mut number = 0;
                while !stopped.load(Ordering::Acquire) {
                    number += 1;
                    let key = format!("c{caller}-{number}");
                    let outcome = submit(&entries, caller + number, &key).await;
                    completed.fetch_add(
                        usize::from(outcome == CallOutcome::Completed),
                        Ordering::AcqRel,
                    );
                    outcomes.lock().unwrap_or_else(PoisonError::into_inner).insert(key, outcome);
                }
            }));
        }
        LoadGenerator { stopped, outcomes, completed, callers }
    }

    /// Waits until `more` further submissions have completed.
    fn wait_for_completed(&self, host: &StandinHost, more: usize) {
        let wanted = self.completed.load(Ordering::Acquire) + more;
        host.block_on(async {
            let waiting = async {
                while self.completed.load(Ordering::Acquire) < wanted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
            assert!(waited.is_ok(), "too few submissions completed within 60 s");
        });
    }

    /// Stops the callers and returns the outcome of each submission by its key.
    fn finish(self, host: &StandinHost) -> BTreeMap<String, CallOutcome> {
        self.stopped.store(true, Ordering::Release);
        for caller in self.callers {
            host.block_on(caller).expect("caller task panicked");
        }
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        outcomes.clone()
    }
}

/// Sends a submission, and retries it while its outcome is unknown.
async fn submit(entries: &[SocketAddr], first: usize, key: &str) -> CallOutcome {
    let caller = Caller::new();
    let mut outcome = CallOutcome::Unknown("not sent".to_owned());
    for attempt in 0..MAX_ATTEMPTS {
        let entry = entries[(first + attempt) % entries.len()];
        let headers = [
            ("cactuswing-team", "north"),
            ("idempotency-key", key),
            ("cactuswing-deadline-ms", "4000"),
        ];
        let path = "/v1/services/order/requests";
        let sending = caller.post(entry, path, &headers, task_body(15.0, key));
        let Ok(reply) = tokio::time::timeout(ATTEMPT_TIMEOUT, sending).await else {
            outcome = CallOutcome::Unknown("attempt timed out".to_owned());
            continue;
        };
        outcome = match reply {
            Ok(reply) if reply.status == 200 => {
                assert!(reply.body.contains(&format!("\"{key}\"")), "{key} got {}", reply.body);
                return CallOutcome::Completed;
            }
            Ok(reply) => match reply.problem() {
                Some(problem) if problem.ran == Ran::No => {
                    return CallOutcome::NotRun(problem.detail.to_string());
                }
                Some(problem) if problem.ran == Ran::Yes => {
                    return CallOutcome::RanAndFailed(problem.detail.to_string());
                }
                Some(problem) => CallOutcome::Unknown(problem.detail.to_string()),
                None => panic!("{key} got an unexpected answer: {}", reply.body),
            },
            Err(error) => CallOutcome::Unknown(error.to_string()),
        };
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    outcome
}

/// Compares every outcome with the recorded starts.
fn check_outcomes(outcomes: &BTreeMap<String, CallOutcome>, records: &StartRecords) {
    let counts = records.counts();
    for (key, count) in &counts {
        assert!(*count <= 1, "task {key} started {count} times");
    }
    for (key, outcome) in outcomes {
        let started = counts.get(&format!("north/{key}/0")).copied().unwrap_or(0);
        match outcome {
            CallOutcome::Completed => assert_eq!(started, 1, "{key} reported as completed"),
            CallOutcome::NotRun(why) => assert_eq!(started, 0, "{key} reported as not run: {why}"),
            CallOutcome::RanAndFailed(why) => assert_eq!(started, 1, "{key} ran and failed: {why}"),
            CallOutcome::Unknown(_) => {}
        }
    }
    let count = |wanted: fn(&CallOutcome) -> bool| {
        outcomes.values().filter(|outcome| wanted(outcome)).count()
    };
    println!(
        "{} submissions: {} completed, {} not run, {} ran and failed, {} unknown; {} starts",
        outcomes.len(),
        count(|outcome| matches!(outcome, CallOutcome::Completed)),
        count(|outcome| matches!(outcome, CallOutcome::NotRun(_))),
        count(|outcome| matches!(outcome, CallOutcome::RanAndFailed(_))),
        count(|outcome| matches!(outcome, CallOutcome::Unknown(_))),
        counts.len(),
    );
}

/// A system of real processes, its backend servers and their records.
struct FailureSystem {
    host: StandinHost,
    group: ProcessGroup,
    records: StartRecords,
    _backends: Vec<BackendServer>,
}

impl FailureSystem {
    fn new(controls: usize, entries: usize, agents: usize) -> FailureSystem {
        let host = StandinHost::start().expect("runtime starts");
        let group = ProcessGroup::start(controls, entries, agents);
        let records = StartRecords::default();
        let mut backends = Vec::new();
        for (number, agent) in group.agents.iter().enumerate() {
            let shape = BackendShape {
                worker: format!("worker-{number}"),
                service: "order".into(),
                slots: 8,
                connections: 64,
                speed: 1.0,
            };
            let announce = agent.announce.expect("announce address of the agent");
            let starting = BackendServer::start(shape, announce, records.clone());
            backends.push(host.block_on(starting).expect("backend server starts"));
        }
        let system = FailureSystem { host, group, records, _backends: backends };
        system.apply_config(0);
        system.wait_until_ready();
        system
    }

    fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.group.entries.iter().map(|entry| entry.address).collect()
    }

    /// Applies a changed operator text as the successor of version `base`; returns the
    /// version in force afterwards.
    fn apply_config(&self, base: u64) -> u64 {
        let mut text = small_config();
        if let Some(team) = text.teams.get_mut("south") {
            team.weight = 1 + base as u32;
        }
        let request = format!("apply-{base}");
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        self.host.block_on(async {
            for _ in 0..60 {
                let command = Command::ApplyConfig {
                    request: request.as_str().into(),
                    base,
                    text: Box::new(text.clone()),
                };
                match client.propose(command).await {
                    Ok(CommandResult::ConfigAccepted { version }) => return version,
                    Ok(other) => panic!("text not accepted: {other:?}"),
                    // A resent request is idempotent.
                    Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
                }
            }
            panic!("control accepted no text within 60 attempts");
        })
    }

    fn config_version(&self) -> u64 {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        let status = self.host.block_on(client.query(ControlQuery::Status));
        match status {
            Ok(ControlAnswer::Status(status)) => status.config_version,
            other => panic!("unexpected answer to the status query: {other:?}"),
        }
    }

    /// Index of the control host that leads.
    fn leader_index(&self) -> usize {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        let status = self.host.block_on(client.query(ControlQuery::Status));
        let Ok(ControlAnswer::Status(status)) = status else {
            panic!("unexpected answer to the status query: {status:?}")
        };
        status.host.rsplit('-').next().and_then(|number| number.parse().ok()).expect("host index")
    }

    /// Waits until each entry knows the slots of all backend servers.
    fn wait_until_ready(&self) {
        let caller = Caller::new();
        let slots = |page: &str| {
            let line = page.lines().find(|line| line.starts_with("cactuswing_known_slots"));
            line.and_then(|line| line.rsplit(' ').next()).and_then(|n| n.parse::<u64>().ok())
        };
        let wanted = 8 * self.group.agents.len() as u64;
        self.host.block_on(async {
            for entry in self.entry_addresses() {
                let ready = async {
                    loop {
                        let page = caller.get(entry, "/metrics").await;
                        if page.is_ok_and(|page| slots(&page.body) >= Some(wanted)) {
                            return;
                        }
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                };
                let waited = tokio::time::timeout(Duration::from_secs(20), ready).await;
                assert!(waited.is_ok(), "{entry} does not know every slot");
            }
        });
    }
}

#[test]
fn kills_under_load() {
    let mut system = FailureSystem::new(3, 3, 4);
    let load = LoadGenerator::start(&system.host, &system.entry_addresses());
    load.wait_for_completed(&system.host, 30);
    let mut version = system.apply_config(1);

    system.group.entries[0].kill();
    load.wait_for_completed(&system.host, 30);
    system.group.entries[0].launch();

    system.group.agents[1].kill();
    load.wait_for_completed(&system.host, 30);
    system.group.agents[1].launch();

    let leader = system.leader_index();
    system.group.controls[leader].kill();
    version = system.apply_config(version).max(version);
    load.wait_for_completed(&system.host, 30);
    system.group.controls[leader].launch();
    load.wait_for_completed(&system.host, 30);

    let outcomes = load.finish(&system.host);
    check_outcomes(&outcomes, &system.records);
    assert_eq!(system.config_version(), version, "an accepted version was lost");
}

#[test]
fn paused_entry_is_fenced() {
    let system = FailureSystem::new(1, 2, 2);
    let load = LoadGenerator::start(&system.host, &system.entry_addresses());
    load.wait_for_completed(&system.host, 20);
    system.group.entries[0].signal(Signal::STOP);
    // The paused entry's lease of 2 s expires while the other entry serves.
    load.wait_for_completed(&system.host, 60);
    let log = |name: &str| {
        std::fs::read_to_string(system.group.log_folder().join(name)).unwrap_or_default()
    };
    system.host.block_on(async {
        while !log("control-0.log").contains("event=fence_in_force entry=entry-0") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    system.group.entries[0].signal(Signal::CONT);
    system.host.block_on(async {
        while !log("entry-0.log").contains("event=fenced") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    load.wait_for_completed(&system.host, 30);
    let outcomes = load.finish(&system.host);
    check_outcomes(&outcomes, &system.records);
}

#[test]
fn terminated_agent_drains() {
    let mut system = FailureSystem::new(1, 1, 2);
    let load = LoadGenerator::start(&system.host, &system.entry_addresses());
    load.wait_for_completed(&system.host, 20);
    let code = system.group.agents[0].terminate();
    assert_eq!(code, Some(0), "the agent exited before its tasks had ended");
    load.wait_for_completed(&system.host, 20);
    let outcomes = load.finish(&system.host);
    check_outcomes(&outcomes, &system.records);
    let unknown =
        outcomes.values().filter(|outcome| matches!(outcome, CallOutcome::Unknown(_))).count();
    assert_eq!(unknown, 0, "a drain left outcomes unknown");
}

#[test]
fn kills_during_repair() {
    let mut system = FailureSystem::new(3, 1, 1);
    let mut version = system.apply_config(1);
    let leader = system.leader_index();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    system.group.controls[first].kill();
    system.group.delete_data(first);
    version = system.apply_config(version);
    system.group.controls[first].launch();
    // The other two hosts are killed right after the repair has begun.
    system.group.controls[second].kill();
    system.group.controls[leader].kill();
    system.group.controls[leader].launch();
    system.group.controls[second].launch();
    assert_eq!(system.wait_for_version(), version, "an accepted version was lost");
    assert_eq!(system.apply_config(version), version + 1);
}

#[test]
fn cold_start_keeps_versions() {
    let mut system = FailureSystem::new(3, 1, 1);
    let load = LoadGenerator::start(&system.host, &system.entry_addresses());
    load.wait_for_completed(&system.host, 20);
    let mut version = 1;
    for _ in 0..20 {
        version = system.apply_config(version);
    }
    for process in system.group.controls.iter_mut().chain(&mut system.group.entries) {
        process.kill();
    }
    for process in system.group.controls.iter_mut().chain(&mut system.group.entries) {
        process.launch();
    }
    assert_eq!(system.wait_for_version(), version);
    load.wait_for_completed(&system.host, 20);
    let outcomes = load.finish(&system.host);
    check_outcomes(&outcomes, &system.records);
}

impl FailureSystem {
    /// The version in force, as soon as a leader answers.
    fn wait_for_version(&self) -> u64 {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        for _ in 0..10 {
            let status = self.host.block_on(client.query(ControlQuery::Status));
            if let Ok(ControlAnswer::Status(status)) = status {
                return status.config_version;
            }
        }
        panic!("no control host answered as leader");
    }
}
