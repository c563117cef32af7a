//! Decides when a control host asks the leader whether it is still a member of the
//! group: after its start, and whenever it has been without a leader for a while. The
//! group may have replaced it while it could not be reached.

use std::time::{Duration, Instant};

/// Time without a leader after which a member asks whether it still is one; longer than
/// an election takes.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// What a host does next about its membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinStep {
    /// Ask the leader for the group, and to be added to it.
    Ask,
    /// Nothing, at most until this time.
    WaitUntil(Instant),
    /// Nothing until the leader changes.
    Wait,
}

/// What a control host knows about its membership.
#[derive(Debug, Clone, Copy)]
pub struct JoinTracker {
    /// Whether the leader has confirmed that this host is a member.
    is_member: bool,
    /// Since when this host's replica has known no leader, or since the latest
    /// confirmation.
    leaderless_since: Option<Instant>,
}

impl JoinTracker {
    /// Creates the state of a host that may not be a member yet.
    pub fn joining(now: Instant) -> JoinTracker {
        JoinTracker { is_member: false, leaderless_since: Some(now) }
    }

    /// Creates the state of a host that forms the group with the other seeds.
    pub fn bootstrapping(now: Instant) -> JoinTracker {
        JoinTracker { is_member: true, leaderless_since: Some(now) }
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: Instant) -> JoinStep {
        if !self.is_member {
            return JoinStep::Ask;
        }
        match self.leaderless_since.map(|since| since + LEADERLESS_TIMEOUT) {
            None => JoinStep::Wait,
            Some(at) if at > now => JoinStep::WaitUntil(at),
            Some(_) => {
                self.is_member = false;
                JoinStep::Ask
            }
        }
    }

    /// Handles the leader's confirmation that this host is a member.
    pub fn on_member(&mut self, now: Instant) {
        self.is_member = true;
        self.leaderless_since = self.leaderless_since.map(|_| now);
    }

    /// Handles a change of whether this host's replica knows a leader.
    pub fn on_leader(&mut self, now: Instant, known: bool) {
        self.leaderless_since = match known {
            true => None,
            false => self.leaderless_since.or(Some(now)),
        };
    }
}
