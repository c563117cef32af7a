//! Decides which control host to ask next for the leader of their group.
//!
//! The settings name a few seeds, which may be down, replaced or no longer members.
//! Members that a host names are remembered, and the seeds are kept beside them. The
//! hosts are asked in rounds: one after another, without waiting for the answers of
//! earlier ones, and with a growing pause between rounds.
//!
//! Invariants:
//! - a member list is replaced by a newer one only, of a term that a host can have reached;
//! - a host that did not answer, or denied that it leads, is asked out of turn again only
//!   if another names it as the leader of a later term;
//! - a host that names itself without leading yet is asked often, but never twice in a row
//!   while another one may be asked.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use model::{LeaderHint, LogIndex, Term, is_reachable_term};

/// Time after which the next host is asked if the earlier ones have not answered.
const ASK_INTERVAL: Duration = Duration::from_millis(60);
/// Pause after the first round without a leader; it doubles with each further round.
const FIRST_ROUND_PAUSE: Duration = Duration::from_millis(60);
/// Maximum pause after a round.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(480);
/// Doublings of the pause until it is at its maximum.
const MAX_PAUSE_DOUBLINGS: u32 = 3;
/// Maximum number of hosts that are asked at the same time.
const MAX_CONCURRENT_ASKS: usize = 4;

/// What a search does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask this host whether it leads.
    Ask(SocketAddr),
    /// Wait for answers, at most until this time.
    WaitUntil(Instant),
    /// Wait for answers: there are enough open questions.
    AwaitAnswer,
}

/// The control hosts that a process knows, and the state of its search for the leader.
#[derive(Debug, Clone)]
pub struct LeaderSearch {
    seeds: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    members_version: (Term, LogIndex),
    /// The host to ask next, out of turn: a leader that was named, or the one that was
    /// followed before.
    named_leader: Option<SocketAddr>,
    /// A host that named itself: it may have been elected and lead soon, or have lost the
    /// lead without hearing of its successor.
    self_named: Option<SocketAddr>,
    /// The host that was asked last.
    last_asked: Option<SocketAddr>,
    /// The latest term of which a leader is known.
    term: Term,
    /// Hosts that do not lead, with the term in which that is known.
    denied: IndexMap<SocketAddr, Term>,
    /// Hosts that were asked in this round.
    asked: IndexSet<SocketAddr>,
    /// Hosts that were asked and have not answered.
    open: IndexSet<SocketAddr>,
    next_ask_at: Instant,
    vain_rounds: u32,
    /// Number by which different processes begin with different hosts.
    offset: usize,
}

impl LeaderSearch {
    /// Creates a search among the seeds. `offset` differs between processes, so that
    /// they don't all ask the same host first.
    pub fn new(now: Instant, seeds: Vec<SocketAddr>, offset: usize) -> LeaderSearch {
        LeaderSearch {
            seeds,
            members: Vec::new(),
            members_version: (0, 0),
            named_leader: None,
            self_named: None,
            last_asked: None,
            term: 0,
            denied: IndexMap::new(),
            asked: IndexSet::new(),
            open: IndexSet::new(),
            next_ask_at: now,
            vain_rounds: 0,
            offset,
        }
    }

    /// Members of the group as far as they are known, then the seeds.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter().filter(|seed| !self.members.contains(seed));
        self.members.iter().chain(seeds).copied().collect()
    }

    /// Returns what to do next. A step [`SearchStep::Ask`] counts as carried out.
    pub fn next_step(&mut self, now: Instant) -> SearchStep {
        if let Some(leader) = self.named_leader.take()
            && !self.open.contains(&leader)
        {
            return self.ask(now, leader);
        }
        if self.open.len() >= MAX_CONCURRENT_ASKS {
            return SearchStep::AwaitAnswer;
        }
        if now < self.next_ask_at {
            return SearchStep::WaitUntil(self.next_ask_at);
        }
        match self.next_host() {
            Some(host) => self.ask(now, host),
            None if self.open.is_empty() => self.end_round(now),
            None => match self.self_named.filter(|host| !self.open.contains(host)) {
                Some(host) => self.ask(now, host),
                None => SearchStep::AwaitAnswer,
            },
        }
    }

    fn ask(&mut self, now: Instant, host: SocketAddr) -> SearchStep {
        self.asked.insert(host);
        self.open.insert(host);
        self.last_asked = Some(host);
        self.next_ask_at = now + ASK_INTERVAL;
        SearchStep::Ask(host)
    }

    /// The next host of the round; every other time the one that named itself.
    fn next_host(&self) -> Option<SocketAddr> {
        self.next_self_named().or_else(|| self.next_unasked())
    }

    fn next_self_named(&self) -> Option<SocketAddr> {
        let is_due =
            |host: &SocketAddr| self.last_asked != Some(*host) && !self.open.contains(host);
        self.self_named.filter(is_due)
    }

    fn next_unasked(&self) -> Option<SocketAddr> {
        let mut hosts = self.hosts();
        let first = self.offset % hosts.len().max(1);
        hosts.rotate_left(first);
        hosts.retain(|host| !self.asked.contains(host));
        let other = hosts.iter().find(|host| Some(**host) != self.self_named);
        other.or(hosts.first()).copied()
    }

    fn end_round(&mut self, now: Instant) -> SearchStep {
        self.asked.clear();
        self.next_ask_at = now + self.round_pause();
        SearchStep::WaitUntil(self.next_ask_at)
    }

    /// Pause after a round; it does not grow while a host names itself, as that one may
    /// lead at any moment.
    fn round_pause(&mut self) -> Duration {
        if self.self_named.is_some() {
            return FIRST_ROUND_PAUSE;
        }
        let doublings = self.vain_rounds.min(MAX_PAUSE_DOUBLINGS);
        self.vain_rounds += 1;
        (FIRST_ROUND_PAUSE * 2_u32.pow(doublings)).min(MAX_ROUND_PAUSE)
    }

    /// Whether no correct host can have reached the hint's term. It is disregarded then,
    /// since all true ones would seem older.
    pub fn is_odd(&self, hint: &LeaderHint) -> bool {
        !is_reachable_term(self.term.max(self.members_version.0), hint.term)
    }

    /// Remembers what a control host told, whether it leads or not.
    pub fn learn(&mut self, hint: &LeaderHint) {
        if self.is_odd(hint) {
            return;
        }
        let is_newer = self.members.is_empty() || hint.group_version() > self.members_version;
        if is_newer && !hint.members.is_empty() {
            self.members.clone_from(&hint.members);
            self.members_version = hint.group_version();
        }
    }

    /// Handles the answer of a host that does not lead.
    pub fn on_hint(&mut self, host: SocketAddr, hint: &LeaderHint) {
        self.open.swap_remove(&host);
        if self.is_odd(hint) {
            return self.deny(host);
        }
        self.learn(hint);
        match hint.leader {
            Some(leader) if leader == host => self.on_self_named(host, hint.term),
            Some(leader) => {
                self.deny(host);
                self.name_leader(leader, hint.term);
            }
            None => self.deny(host),
        }
    }

    /// Handles a host that names itself but does not lead. It leads as soon as it has
    /// committed a record, unless a later term is known.
    fn on_self_named(&mut self, host: SocketAddr, term: Term) {
        if term < self.term {
            return self.deny(host);
        }
        self.term = term;
        self.self_named = Some(host);
    }

    fn name_leader(&mut self, leader: SocketAddr, term: Term) {
        let is_denied = self.denied.get(&leader).is_some_and(|denied| *denied >= term);
        if term > self.term {
            self.self_named = None;
        }
        if term >= self.term && !is_denied && self.self_named != Some(leader) {
            self.term = term;
            self.named_leader = Some(leader);
        }
    }

    /// Handles a host that can't be reached or does not answer.
    pub fn on_silent(&mut self, host: SocketAddr) {
        self.open.swap_remove(&host);
        self.deny(host);
    }

    fn deny(&mut self, host: SocketAddr) {
        self.denied.insert(host, self.term);
        self.named_leader.take_if(|leader| *leader == host);
        self.self_named.take_if(|named| *named == host);
    }

    /// Handles the end of a search before it has found a leader. The hosts that have not
    /// answered count as not asked.
    pub fn on_abandoned(&mut self) {
        for host in std::mem::take(&mut self.open) {
            self.asked.swap_remove(&host);
        }
    }

    /// Abandons the open questions, since a host has answered that may lead.
    pub fn on_answer(&mut self) {
        self.open.clear();
    }

    /// Handles the proof that a host leads. Hosts of earlier versions give no hint.
    pub fn on_leader(&mut self, leader: SocketAddr, hint: &LeaderHint) {
        if !self.is_odd(hint) {
            self.learn(hint);
            self.term = self.term.max(hint.term);
        }
        self.denied.swap_remove(&leader);
        self.open.clear();
        self.asked.clear();
        self.named_leader = None;
        self.self_named = None;
        self.vain_rounds = 0;
    }

    /// Handles the loss of contact with a host that was followed. It is asked first, as its
    /// connection alone may be lost, and the others right after it; a host that is lost at
    /// once is asked in turn.
    pub fn on_lost(&mut self, now: Instant, host: SocketAddr) {
        self.open.clear();
        self.asked.clear();
        if now >= self.next_ask_at {
            self.named_leader = Some(host);
            self.next_ask_at = now;
        }
    }
}
