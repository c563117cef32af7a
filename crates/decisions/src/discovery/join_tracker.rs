//! Decides when a control host asks the leader about its membership of the group: after its
//! start, and whenever it has been without a leader for a while, since the group may have
//! replaced it while it could not be reached; and before its process ends, if the group has
//! more hosts than it needs. A surplus host that ended as a member would count among those
//! of which a majority has to be there.

use std::time::{Duration, Instant};

/// Time without a leader after which a member asks whether it still is one; longer than
/// an election takes.
const LEADERLESS_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which a host that ends waits until it is no member any more. It spans the
/// election of a leader that was lost just then.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(4);

/// What a host does next about its membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinStep {
    /// Ask the leader for the group, and to be added to it.
    Ask,
    /// Ask the leader for the group, and to be removed from it, at most until this time.
    AskToLeave(Instant),
    /// End: the process need not wait any more.
    End,
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
    /// Whether the group has more hosts than it needs.
    has_surplus: bool,
    departure: Departure,
}

/// How far a host is with its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// It runs on.
    None,
    /// It asks to be removed, at most until this time.
    Until(Instant),
    /// It may end.
    Done,
}

impl JoinTracker {
    /// Creates the state of a host that may not be a member yet.
    pub fn joining(now: Instant) -> JoinTracker {
        JoinTracker {
            is_member: false,
            leaderless_since: Some(now),
            has_surplus: false,
            departure: Departure::None,
        }
    }

    /// Creates the state of a host that forms the group with the other seeds.
    pub fn bootstrapping(now: Instant) -> JoinTracker {
        JoinTracker { is_member: true, ..JoinTracker::joining(now) }
    }

    /// Returns what to do next.
    pub fn next_step(&mut self, now: Instant) -> JoinStep {
        match self.departure {
            Departure::Until(at) if now < at => return JoinStep::AskToLeave(at),
            Departure::Until(_) | Departure::Done => return JoinStep::End,
            Departure::None => {}
        }
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

    /// Handles a change of whether the group has more hosts than it needs.
    pub fn on_surplus(&mut self, exists: bool) {
        self.has_surplus = exists;
    }

    /// Handles the request to end. Without a surplus host the group keeps this one, which may
    /// be restarted in place.
    pub fn on_leave(&mut self, now: Instant) {
        self.departure = match self.departure {
            Departure::None if self.has_surplus => Departure::Until(now + LEAVE_TIMEOUT),
            Departure::None => Departure::Done,
            begun => begun,
        };
    }

    /// Handles the leader's answer that the group is without this host, or needs it.
    pub fn on_left(&mut self) {
        self.departure = Departure::Done;
    }

    /// Handles a change of whether this host's replica knows a leader.
    pub fn on_leader(&mut self, now: Instant, known: bool) {
        self.leaderless_since = match known {
            true => None,
            false => self.leaderless_since.or(Some(now)),
        };
    }
}
