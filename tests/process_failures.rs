//! Failures of real processes under load: kills, pauses, lost disks, drains
//! and a cold start, with every answer checked against what really started.

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
use crate::support::{body, small_text};

/// What became of one submission.
#[derive(Debug, Clone, PartialEq)]
enum LastWord {
    Whole,
    NotRun(String),
    Ran(String),
    Unknown(String),
}

/// Calls that go on while failures happen.
struct Traffic {
    stop: Arc<AtomicBool>,
    words: Arc<Mutex<BTreeMap<String, LastWord>>>,
    whole: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

const CALLERS: usize = 6;
/// Times that a caller sends one submission, each time to the next entry.
const MOST_TRIES: usize = 40;
/// A caller gives an entry up after this.
const LONGEST_TRY: Duration = Duration::from_secs(3);
const TRY_PAUSE: Duration = Duration::from_millis(150);

impl Traffic {
    fn start(host: &StandinHost, entries: &[SocketAddr]) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let words = Arc::new(Mutex::new(BTreeMap::new()));
        let whole = Arc::new(AtomicUsize::new(0));
        let mut tasks = Vec::new();
        for caller in 0..CALLERS {
            let (stop, words, whole) = (Arc::clone(&stop), Arc::clone(&words), Arc::clone(&whole));
            let entries = entries.to_vec();
            tasks.push(host.handle().spawn(async move {
                let mut number = 0;
                while !stop.load(Ordering::Acquire) {
                    number += 1;
                    let key = format!("c{caller}-{number}");
                    let word = submit(&entries, caller + number, &key).await;
                    whole.fetch_add(usize::from(word == LastWord::Whole), Ordering::AcqRel);
                    words.lock().unwrap_or_else(PoisonError::into_inner).insert(key, word);
                }
            }));
        }
        Traffic { stop, words, whole, tasks }
    }

    /// Waits until so many more submissions were answered in full.
    fn wait_for(&self, host: &StandinHost, more: usize) {
        let wanted = self.whole.load(Ordering::Acquire) + more;
        host.block_on(async {
            let waiting = async {
                while self.whole.load(Ordering::Acquire) < wanted {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
            assert!(waited.is_ok(), "the system answers again after a failure");
        });
    }

    fn end(self, host: &StandinHost) -> BTreeMap<String, LastWord> {
        self.stop.store(true, Ordering::Release);
        for task in self.tasks {
            host.block_on(task).expect("a caller ends");
        }
        let words = self.words.lock().unwrap_or_else(PoisonError::into_inner);
        words.clone()
    }
}

/// Sends a submission, again and again while its outcome is not known.
async fn submit(entries: &[SocketAddr], first: usize, key: &str) -> LastWord {
    let caller = Caller::new();
    let mut word = LastWord::Unknown("never sent".to_owned());
    for attempt in 0..MOST_TRIES {
        let entry = entries[(first + attempt) % entries.len()];
        let headers = [
            ("cactuswing-team", "north"),
            ("idempotency-key", key),
            ("cactuswing-deadline-ms", "4000"),
        ];
        let path = "/v1/services/order/requests";
        let sending = caller.post(entry, path, &headers, body(15.0, key));
        let Ok(reply) = tokio::time::timeout(LONGEST_TRY, sending).await else {
            word = LastWord::Unknown("no answer in time".to_owned());
            continue;
        };
        word = match reply {
            Ok(reply) if reply.status == 200 => {
                assert!(reply.body.contains(&format!("\"{key}\"")), "{key} got {}", reply.body);
                return LastWord::Whole;
            }
            Ok(reply) => match reply.problem() {
                Some(problem) if problem.ran == Ran::No => {
                    return LastWord::NotRun(problem.detail.to_string());
                }
                Some(problem) if problem.ran == Ran::Yes => {
                    return LastWord::Ran(problem.detail.to_string());
                }
                Some(problem) => LastWord::Unknown(problem.detail.to_string()),
                None => panic!("{key} got a strange answer: {}", reply.body),
            },
            Err(error) => LastWord::Unknown(error.to_string()),
        };
        tokio::time::sleep(TRY_PAUSE).await;
    }
    word
}

/// Every last word against what started.
fn check(words: &BTreeMap<String, LastWord>, records: &StartRecords) {
    let counts = records.counts();
    for (key, count) in &counts {
        assert!(*count <= 1, "task {key} started {count} times");
    }
    for (key, word) in words {
        let started = counts.get(&format!("north/{key}/0")).copied().unwrap_or(0);
        match word {
            LastWord::Whole => assert_eq!(started, 1, "{key} was answered in full"),
            LastWord::NotRun(why) => assert_eq!(started, 0, "{key} was told \"not run\": {why}"),
            LastWord::Ran(why) => assert_eq!(started, 1, "{key} was told that it ran: {why}"),
            LastWord::Unknown(_) => {}
        }
    }
    let count = |wanted: fn(&LastWord) -> bool| words.values().filter(|word| wanted(word)).count();
    println!(
        "{} submissions: {} whole, {} not run, {} ran and failed, {} unknown; {} starts",
        words.len(),
        count(|word| matches!(word, LastWord::Whole)),
        count(|word| matches!(word, LastWord::NotRun(_))),
        count(|word| matches!(word, LastWord::Ran(_))),
        count(|word| matches!(word, LastWord::Unknown(_))),
        counts.len(),
    );
}

struct Setting {
    host: StandinHost,
    group: ProcessGroup,
    records: StartRecords,
    _backends: Vec<BackendServer>,
}

impl Setting {
    fn new(controls: usize, entries: usize, agents: usize) -> Setting {
        let host = StandinHost::start().expect("a runtime");
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
            let announce = agent.announce.expect("an agent has one");
            let starting = BackendServer::start(shape, announce, records.clone());
            backends.push(host.block_on(starting).expect("a backend server"));
        }
        let setting = Setting { host, group, records, _backends: backends };
        setting.apply(0);
        setting.wait_ready();
        setting
    }

    fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.group.entries.iter().map(|entry| entry.address).collect()
    }

    /// Applies a text as the successor of version `base`; gives the version in
    /// force afterwards.
    fn apply(&self, base: u64) -> u64 {
        let mut text = small_text();
        if let Some(team) = text.teams.get_mut("south") {
            team.weight = 1 + base as u32;
        }
        let request = format!("apply-{base}");
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        self.host.block_on(async {
            for _ in 0..60 {
                let command = Command::ApplyText {
                    request: request.as_str().into(),
                    base,
                    text: Box::new(text.clone()),
                };
                match client.propose(command).await {
                    Ok(CommandResult::TextAccepted { version }) => return version,
                    Ok(other) => panic!("the text was not accepted: {other:?}"),
                    // The same request again is always safe.
                    Err(_) => tokio::time::sleep(Duration::from_millis(100)).await,
                }
            }
            panic!("control takes no text");
        })
    }

    fn version(&self) -> u64 {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        let status = self.host.block_on(client.query(ControlQuery::Status));
        match status {
            Ok(ControlAnswer::Status(status)) => status.config_version,
            other => panic!("no status: {other:?}"),
        }
    }

    fn leader(&self) -> usize {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        let status = self.host.block_on(client.query(ControlQuery::Status));
        let Ok(ControlAnswer::Status(status)) = status else { panic!("no status: {status:?}") };
        status.host.rsplit('-').next().and_then(|number| number.parse().ok()).expect("a number")
    }

    /// Waits until each entry takes work.
    fn wait_ready(&self) {
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
                assert!(waited.is_ok(), "{entry} learns of every slot");
            }
        });
    }
}

#[test]
fn kills_under_load() {
    let mut setting = Setting::new(3, 3, 4);
    let traffic = Traffic::start(&setting.host, &setting.entry_addresses());
    traffic.wait_for(&setting.host, 30);
    let mut version = setting.apply(1);

    setting.group.entries[0].kill();
    traffic.wait_for(&setting.host, 30);
    setting.group.entries[0].start_again();

    setting.group.agents[1].kill();
    traffic.wait_for(&setting.host, 30);
    setting.group.agents[1].start_again();

    let leader = setting.leader();
    setting.group.controls[leader].kill();
    version = setting.apply(version).max(version);
    traffic.wait_for(&setting.host, 30);
    setting.group.controls[leader].start_again();
    traffic.wait_for(&setting.host, 30);

    let words = traffic.end(&setting.host);
    check(&words, &setting.records);
    assert_eq!(setting.version(), version, "no accepted version goes back");
}

#[test]
fn paused_entry_is_fenced() {
    let setting = Setting::new(1, 2, 2);
    let traffic = Traffic::start(&setting.host, &setting.entry_addresses());
    traffic.wait_for(&setting.host, 20);
    setting.group.entries[0].signal(Signal::STOP);
    // Its lease of two seconds lapses meanwhile; the other entry goes on.
    traffic.wait_for(&setting.host, 60);
    let log =
        |name: &str| std::fs::read_to_string(setting.group.folder().join(name)).unwrap_or_default();
    setting.host.block_on(async {
        while !log("control-0.log").contains("event=fence_in_force entry=entry-0") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    setting.group.entries[0].signal(Signal::CONT);
    setting.host.block_on(async {
        while !log("entry-0.log").contains("event=fenced") {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    traffic.wait_for(&setting.host, 30);
    let words = traffic.end(&setting.host);
    check(&words, &setting.records);
}

#[test]
fn terminated_agent_drains() {
    let mut setting = Setting::new(1, 1, 2);
    let traffic = Traffic::start(&setting.host, &setting.entry_addresses());
    traffic.wait_for(&setting.host, 20);
    let code = setting.group.agents[0].terminate();
    assert_eq!(code, Some(0), "it ended with nothing in progress");
    traffic.wait_for(&setting.host, 20);
    let words = traffic.end(&setting.host);
    check(&words, &setting.records);
    let unknown = words.values().filter(|word| matches!(word, LastWord::Unknown(_))).count();
    assert_eq!(unknown, 0, "a drain leaves nothing in doubt");
}

#[test]
fn second_host_lost() {
    let mut setting = Setting::new(3, 1, 1);
    let mut version = setting.apply(1);
    let leader = setting.leader();
    let (first, second) = ((leader + 1) % 3, (leader + 2) % 3);
    setting.group.controls[first].kill();
    setting.group.lose_disk(first);
    version = setting.apply(version);
    setting.group.controls[first].start_again();
    // Right after the repair began, another host goes for good.
    setting.group.controls[second].kill();
    setting.group.controls[leader].kill();
    setting.group.controls[leader].start_again();
    setting.group.controls[second].start_again();
    assert_eq!(setting.version_in_time(), version, "nothing accepted is lost");
    assert_eq!(setting.apply(version), version + 1);
}

#[test]
fn cold_start_keeps_all() {
    let mut setting = Setting::new(3, 1, 1);
    let traffic = Traffic::start(&setting.host, &setting.entry_addresses());
    traffic.wait_for(&setting.host, 20);
    let mut version = 1;
    for _ in 0..20 {
        version = setting.apply(version);
    }
    for process in setting.group.controls.iter_mut().chain(&mut setting.group.entries) {
        process.kill();
    }
    for process in setting.group.controls.iter_mut().chain(&mut setting.group.entries) {
        process.start_again();
    }
    assert_eq!(setting.version_in_time(), version);
    traffic.wait_for(&setting.host, 20);
    let words = traffic.end(&setting.host);
    check(&words, &setting.records);
}

impl Setting {
    /// The version in force, once a leader answers.
    fn version_in_time(&self) -> u64 {
        let mut client = ControlClient::new(self.group.control_addresses.clone());
        for _ in 0..10 {
            let status = self.host.block_on(client.query(ControlQuery::Status));
            if let Ok(ControlAnswer::Status(status)) = status {
                return status.config_version;
            }
        }
        panic!("no control host leads");
    }
}
