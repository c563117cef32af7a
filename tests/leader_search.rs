//! Search for the leader of the control group by entries, agents and operators: seeds
//! that are down or no longer members, leaders outside the seeds, leaders that are gone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::discovery::{LeaderSearch, SearchStep};
use edges::leader_finder::{HostAnswer, LeaderFinder};
use indexmap::IndexMap;
use kernel::{SharedClock, SystemClock};
use model::{CatalogQuery, ControlReplyBody, LeaderHint, SchedulerMessage};
use proptest::prelude::*;

/// Time that a host takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Time after which a question counts as not answered.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time in which the leader is found once a host that is asked leads or names it: every
/// host is asked in this time, also if silent ones are asked first.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(3);

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_000).into()
}

fn hosts(numbers: &[u8]) -> Vec<SocketAddr> {
    numbers.iter().map(|number| host(*number)).collect()
}

fn hint(leader: Option<u8>, term: u64, members: &[u8], group_index: u64) -> LeaderHint {
    LeaderHint { leader: leader.map(host), term, members: hosts(members), group_index }
}

/// How a host answers.
#[derive(Debug, Clone)]
enum HostState {
    Silent,
    Leads(LeaderHint),
    Follows(LeaderHint),
}

/// Control hosts with their answers, and a process that searches.
struct SearchWorld {
    now: Instant,
    states: IndexMap<SocketAddr, HostState>,
    search: LeaderSearch,
    open: Vec<(Instant, SocketAddr)>,
    asks: usize,
}

impl SearchWorld {
    fn new(seeds: &[u8], states: &[(u8, HostState)]) -> SearchWorld {
        let now = Instant::now();
        let states = states.iter().map(|(number, state)| (host(*number), state.clone()));
        let search = LeaderSearch::new(now, hosts(seeds), 0);
        SearchWorld { now, states: states.collect(), search, open: Vec::new(), asks: 0 }
    }

    /// Searches until a leader is found, for at most `limit`.
    fn find(&mut self, limit: Duration) -> Option<SocketAddr> {
        let end = self.now + limit;
        while self.now < end {
            let next_answer = self.open.iter().map(|(at, _)| *at).min();
            let wait = match self.search.next_step(self.now) {
                SearchStep::Ask(host) => {
                    self.ask(host);
                    continue;
                }
                SearchStep::WaitUntil(at) => Some(at),
                SearchStep::AwaitAnswer => None,
            };
            let next = wait.into_iter().chain(next_answer).min();
            self.now = next.expect("a search that waits for nothing never ends").max(self.now);
            if let Some(leader) = self.answer() {
                return Some(leader);
            }
        }
        None
    }

    fn ask(&mut self, host: SocketAddr) {
        let is_silent = matches!(self.states.get(&host), None | Some(HostState::Silent));
        let time = if is_silent { SILENCE_TIMEOUT } else { ANSWER_TIME };
        self.open.push((self.now + time, host));
        self.asks += 1;
    }

    fn answer(&mut self) -> Option<SocketAddr> {
        let is_due = |(at, _): &(Instant, SocketAddr)| *at <= self.now;
        let position = self.open.iter().position(is_due)?;
        let (_, host) = self.open.remove(position);
        match self.states.get(&host).cloned().unwrap_or(HostState::Silent) {
            HostState::Silent => self.search.on_silent(host),
            HostState::Follows(hint) => self.search.on_hint(host, &hint),
            HostState::Leads(hint) => {
                self.search.on_leader(host, &hint);
                self.open.clear();
                return Some(host);
            }
        }
        None
    }

    fn set(&mut self, number: u8, state: HostState) {
        self.states.insert(host(number), state);
    }
}

/// After a change of leader, the only seed that answered had left the group and knew no
/// leader: entries followed none for 12 s.
#[test]
fn leader_outside_seeds() {
    let group = hint(None, 1, &[2, 3, 4, 5], 7);
    let leads = HostState::Leads(LeaderHint { leader: Some(host(2)), ..group.clone() });
    let mut world = SearchWorld::new(&[1, 2, 3], &[(2, leads)]);
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(2)));
    world.set(1, HostState::Follows(LeaderHint::default()));
    world.set(2, HostState::Silent);
    let leads = LeaderHint { leader: Some(host(5)), term: 2, ..group };
    world.set(5, HostState::Leads(leads));
    let now = world.now;
    world.search.on_lost(now, host(2));
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(5)));
    assert!(world.now - now < SILENCE_TIMEOUT, "silent hosts delay no other");
}

#[test]
fn follower_names_leader() {
    let follows = HostState::Follows(hint(Some(9), 3, &[1, 9], 4));
    let leads = HostState::Leads(hint(Some(9), 3, &[1, 9], 4));
    let mut world = SearchWorld::new(&[1], &[(1, follows), (9, leads)]);
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(9)));
    assert_eq!(world.asks, 2);
}

#[test]
fn gone_leader_forgotten() {
    let stale = HostState::Follows(hint(Some(3), 4, &[1, 2, 3], 2));
    let mut world = SearchWorld::new(&[1, 2, 3], &[(1, stale.clone()), (2, stale)]);
    assert_eq!(world.find(MAX_SEARCH_TIME), None);
    let to_gone_host = world.asks;
    world.set(1, HostState::Follows(hint(Some(2), 5, &[1, 2, 3], 2)));
    world.set(2, HostState::Leads(hint(Some(2), 5, &[1, 2, 3], 2)));
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(2)));
    assert!(to_gone_host < 40, "{to_gone_host} questions while there is no leader");
}

#[test]
fn lost_connection_reopened() {
    let leads = HostState::Leads(hint(Some(2), 1, &[1, 2, 3], 1));
    let mut world = SearchWorld::new(&[1, 2, 3], &[(2, leads)]);
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(2)));
    world.now += Duration::from_secs(10);
    let (now, asks) = (world.now, world.asks);
    world.search.on_lost(now, host(2));
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(2)));
    assert_eq!(world.asks, asks + 1);
}

#[test]
fn older_members_ignored() {
    let mut world = SearchWorld::new(&[1], &[]);
    world.search.learn(&hint(None, 2, &[4, 5], 9));
    world.search.learn(&hint(None, 1, &[6, 7], 30));
    world.search.learn(&hint(None, 2, &[], 40));
    assert_eq!(world.search.hosts(), hosts(&[4, 5, 1]));
}

#[test]
fn elected_host_awaited() {
    let elected = HostState::Follows(hint(Some(1), 2, &[1, 2], 1));
    let follows = HostState::Follows(hint(Some(1), 2, &[1, 2], 1));
    let mut world = SearchWorld::new(&[1, 2], &[(1, elected), (2, follows)]);
    assert_eq!(world.find(Duration::from_millis(200)), None);
    world.set(1, HostState::Leads(hint(Some(1), 2, &[1, 2], 1)));
    let now = world.now;
    assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(1)));
    assert!(world.now - now <= SILENCE_TIMEOUT);
}

// Guards against entries that ask a former leader, which is cut off and still names itself,
// again and again and no other host: they had an old catalog for as long as the cut took.
#[test]
fn self_named_host_passed() {
    let members = [1, 2, 3, 4, 5];
    let former = HostState::Follows(hint(Some(1), 2, &members, 1));
    let leads = HostState::Leads(hint(Some(5), 3, &members, 1));
    let follows = HostState::Follows(hint(Some(5), 3, &members, 1));
    let unaware = HostState::Follows(hint(None, 2, &members, 1));
    for others in [follows, unaware, HostState::Silent] {
        let mut world = SearchWorld::new(&members, &[(1, former.clone()), (5, leads.clone())]);
        for number in 2..5 {
            world.set(number, others.clone());
        }
        let now = world.now;
        assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(5)), "{others:?}");
        assert!(world.now - now < 2 * SILENCE_TIMEOUT, "{others:?}");
    }
}

// Guards against a host that is asked far more often than others while it names itself.
#[test]
fn self_named_host_spared() {
    let former = HostState::Follows(hint(Some(1), 2, &[1, 2, 3], 1));
    let mut world = SearchWorld::new(&[1, 2, 3], &[(1, former.clone()), (2, former.clone())]);
    world.set(3, former);
    assert_eq!(world.find(Duration::from_secs(10)), None);
    assert!(world.asks < 200, "{} questions in 10 s", world.asks);
}

// Guards against a roll in which entries and agents don't understand a host of another version.
#[test]
fn earlier_versions_understood() {
    let text = r#"{"not_leader":{"leader":"10.0.0.3:7000"}}"#;
    let body: ControlReplyBody = serde_json::from_str(text).expect("an earlier reply");
    let named = LeaderHint { leader: Some(host(3)), ..LeaderHint::default() };
    assert_eq!(body, ControlReplyBody::NotLeader(named));
    let text = r#"{"closed":{"leader":null}}"#;
    let message: SchedulerMessage = serde_json::from_str(text).expect("an earlier message");
    assert_eq!(message, SchedulerMessage::Closed(LeaderHint::default()));
    let text = r#"{"version":4,"entry":{"name":"e","address":"10.0.0.9:7000"}}"#;
    let query: CatalogQuery = serde_json::from_str(text).expect("an earlier query");
    assert_eq!(query.group_version, None, "it is not told of groups");
}

#[test]
fn earlier_versions_find_leader() {
    let body = ControlReplyBody::NotLeader(hint(Some(3), 2, &[1, 2, 3], 5));
    let json = serde_json::to_value(&body).expect("a reply");
    assert_eq!(json["not_leader"]["leader"], "10.0.0.3:7000");
    let message = SchedulerMessage::Closed(hint(Some(3), 2, &[1, 2, 3], 5));
    let json = serde_json::to_value(&message).expect("a message");
    assert_eq!(json["closed"]["leader"], "10.0.0.3:7000");
}

/// State of a host that does not lead, with the leader that it names.
fn other_state(kind: u8, named: u8, term: u64) -> HostState {
    match kind {
        0 => HostState::Silent,
        1 => HostState::Follows(hint(None, term, &[], 0)),
        _ => HostState::Follows(hint(Some(named), term, &[1, 2, 3, 4, 5, 6], term)),
    }
}

proptest! {
    /// Whatever happened before, a leader that is a seed or a known member, or that a host
    /// which answers names, is found in bounded time, with a bounded rate of questions.
    #[test]
    fn leader_found_in_time(
        phases in prop::collection::vec(
            (prop::collection::vec((0_u8..3, 1_u8..7), 6), 0_u64..900),
            0..6,
        ),
        leader in 1_u8..7,
    ) {
        let mut world = SearchWorld::new(&[1, 2, 3], &[]);
        let started_at = world.now;
        let mut term = 1;
        for (states, millis) in phases {
            for (number, (kind, named)) in states.into_iter().enumerate() {
                world.set(number as u8 + 1, other_state(kind, named, term));
            }
            term += 1;
            if world.find(Duration::from_millis(millis)).is_some() {
                prop_assert!(false, "no host leads");
            }
        }
        for number in 1..7 {
            world.set(number, other_state(2, leader, term));
        }
        world.set(leader, HostState::Leads(hint(Some(leader), term, &[1, 2, 3, 4, 5, 6], term)));
        prop_assert_eq!(world.find(MAX_SEARCH_TIME), Some(host(leader)));
        let seconds = (world.now - started_at).as_secs_f64() + 1.0;
        prop_assert!((world.asks as f64) < 20.0 * seconds, "{} in {seconds} s", world.asks);
    }
}

// A search that is given up while hosts are being asked. The next one waited for their answers
// for good: a host that was to leave its group ended as a member (review/11, CONFIG).
#[test]
fn cancelled_search_begins_anew() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let hosts = hosts(&[1, 2, 3]);
    let clock: SharedClock = Arc::new(SystemClock);
    let mut finder = LeaderFinder::new(clock, hosts, "process", None);
    runtime.expect("the runtime starts").block_on(async {
        let silent = async |_| std::future::pending::<HostAnswer<()>>().await;
        let cancelled = tokio::time::timeout(Duration::from_millis(200), finder.find(silent)).await;
        assert!(cancelled.is_err());
        let answers = async |_| HostAnswer::Leads(());
        let found = tokio::time::timeout(Duration::from_secs(20), finder.find(answers)).await;
        assert!(found.is_ok(), "hosts are asked again");
    });
}
