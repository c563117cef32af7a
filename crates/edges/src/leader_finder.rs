//! Carries out the search for the leading control host: asks the hosts that the search
//! names, several at a time, and follows what they answer.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Instant;

use compact_str::{CompactString, format_compact};
use decisions::discovery::{LeaderSearch, SearchStep};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use kernel::SharedClock;
use model::{EventLine, EventLog, LeaderHint, fingerprint};

/// Length from which the course of a search is not extended any more.
const MAX_COURSE_BYTES: usize = 400;

/// The answer of a host that was asked whether it leads.
pub enum HostAnswer<C> {
    /// It may lead; the connection to it.
    Leads(C),
    /// It does not lead.
    Follows(LeaderHint),
    /// It can't be reached, or did not answer in time.
    Silent,
}

/// Finds the leading control host, for one connection of a process.
pub struct LeaderFinder {
    search: LeaderSearch,
    clock: SharedClock,
    /// Where the course of a search is logged; commands of operators have no log.
    log: Option<EventLog>,
    /// Whether the host that is followed has not been logged yet.
    is_searching: bool,
    /// The hosts asked since the last log line, with their answers.
    course: CompactString,
}

impl LeaderFinder {
    /// Creates a finder that knows the hosts of the settings. Processes of different names
    /// begin with different hosts.
    pub fn new(
        clock: SharedClock,
        seeds: Vec<SocketAddr>,
        process: &str,
        log: Option<EventLog>,
    ) -> LeaderFinder {
        let offset = fingerprint([process.as_bytes()]) as usize;
        let search = LeaderSearch::new(clock.now(), seeds, offset);
        LeaderFinder { search, clock, log, is_searching: true, course: CompactString::default() }
    }

    /// Asks hosts until one answers that it may lead. The caller reports what comes of it
    /// with [`LeaderFinder::confirm`], [`LeaderFinder::deny`] or [`LeaderFinder::lose`].
    /// Cancel safe: the next search begins anew.
    pub async fn find<C>(
        &mut self,
        ask: impl AsyncFn(SocketAddr) -> HostAnswer<C>,
    ) -> (SocketAddr, C) {
        let mut open = FuturesUnordered::new();
        // The questions of a search that was cancelled are answered no more.
        self.search.on_abandoned();
        loop {
            let wait_until = match self.search.next_step(self.clock.now()) {
                SearchStep::Ask(host) => {
                    let ask = &ask;
                    open.push(async move { (host, ask(host).await) });
                    continue;
                }
                SearchStep::WaitUntil(at) => Some(at),
                SearchStep::AwaitAnswer => None,
            };
            tokio::select! {
                Some((host, answer)) = open.next() => match answer {
                    HostAnswer::Leads(connection) => {
                        self.search.on_answer();
                        return (host, connection);
                    }
                    HostAnswer::Follows(hint) => self.deny(host, &hint),
                    HostAnswer::Silent => {
                        self.note(host, "silent");
                        self.search.on_silent(host);
                    }
                },
                () = sleep_until(&self.clock, wait_until) => {}
            }
        }
    }

    /// Records that a host leads, and what it told of its group.
    pub fn confirm(&mut self, host: SocketAddr, hint: &LeaderHint) {
        self.log_odd(host, hint);
        self.search.on_leader(host, hint);
        if !std::mem::take(&mut self.is_searching) {
            return;
        }
        let course = std::mem::take(&mut self.course);
        if let Some(log) = &self.log {
            let known = self.search.hosts().len();
            let line = EventLine::new("leader_found").with("host", host).with("known", known);
            log.info(line.with("asked", course));
        }
    }

    /// Records that a host does not lead, and whom it named.
    pub fn deny(&mut self, host: SocketAddr, hint: &LeaderHint) {
        self.is_searching = true;
        self.log_odd(host, hint);
        match hint.leader {
            Some(leader) => self.note(host, &format_compact!("names {leader}")),
            None => self.note(host, "no leader"),
        }
        self.search.on_hint(host, hint);
    }

    /// Logs a hint that the search disregards.
    fn log_odd(&self, host: SocketAddr, hint: &LeaderHint) {
        if let Some(log) = &self.log
            && self.search.is_odd(hint)
        {
            let line = EventLine::new("leader_hint_refused").with("host", host);
            log.warn(line.with("term", hint.term));
        }
    }

    /// Records the loss of contact with a host that was found.
    pub fn lose(&mut self, host: SocketAddr) {
        self.is_searching = true;
        self.note(host, "lost");
        self.search.on_lost(self.clock.now(), host);
    }

    /// Adds an answer to the course of the search, up to [`MAX_COURSE_BYTES`].
    fn note(&mut self, host: SocketAddr, answer: &str) {
        if self.course.len() < MAX_COURSE_BYTES {
            let separator = if self.course.is_empty() { "" } else { ", " };
            // Writing to a string does not fail.
            let _written = write!(self.course, "{separator}{host}: {answer}");
        }
    }
}

/// Waits until a time of the clock, or forever without one.
pub(crate) async fn sleep_until(clock: &SharedClock, deadline: Option<Instant>) {
    match deadline {
        Some(at) => tokio::time::sleep(at.saturating_duration_since(clock.now())).await,
        None => std::future::pending().await,
    }
}
