//! Owns the open connections of a listener and the bytes of requests that it holds.
//!
//! When a limit is reached, incomplete connections are closed, the slowest first and the
//! oldest of equally slow ones: those whose client has stopped give way to new ones.
//!
//! Invariants:
//! - a connection that was told to close counts no more, and is told so once;
//! - bytes are held only for connections that have reserved them and are open.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use model::CloseCause;
use strum::{EnumCount, IntoEnumIterator};

use super::ListenerLimits;

/// Number of a connection; not reused.
pub type ConnectionId = u64;

/// Age up to which an incomplete request isn't taken for slow. A client that sends its request
/// without a pause needs less.
const YOUNG_AGE: Duration = Duration::from_millis(500);
/// Interval of the summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Memory after whose release it is worth returning it to the system.
const BURST_BYTES: u64 = 2 * 1024 * 1024;
/// Memory that an idle connection keeps, as an estimate for the end of a burst.
const KEPT_CONNECTION_BYTES: u64 = 8 * 1024;
/// Least time between two returns of memory: one stops all allocations for milliseconds.
const RETURN_INTERVAL: Duration = Duration::from_secs(2);

/// What a connection does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    /// No byte of a request has come since the last reply.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request was read; its reply is not built yet.
    Serving,
    /// A reply is written, as fast as its client reads it.
    Reply,
    /// A refusal was written; what still arrives is dropped.
    Lingering,
}

#[derive(Debug, Clone)]
struct Connection {
    phase: ConnectionPhase,
    /// When the phase began.
    since: Instant,
    /// Since when a reply waits to be read in full. Replies to requests that were sent ahead
    /// don't change it: a client that reads too slowly would have the time anew with each.
    unread_since: Option<Instant>,
    /// Bytes of the request that arrived in this phase.
    bytes: u64,
    /// Bytes that are held of its request.
    held: u64,
    is_closing: bool,
}

impl Connection {
    fn enter(&mut self, phase: ConnectionPhase, now: Instant) {
        self.phase = phase;
        self.since = now;
        self.bytes = 0;
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Bytes a second since the phase began.
    fn rate(&self, now: Instant) -> u64 {
        let age_ms = self.age(now).as_millis().max(1) as u64;
        self.bytes.saturating_mul(1_000) / age_ms
    }

    /// Order in which connections are closed, the least first; `None` for one that is kept.
    /// A reply counts as rate 0: what its client has read is not known.
    fn close_rank(&self, now: Instant) -> Option<(u8, u64, Reverse<Duration>)> {
        let age = self.age(now);
        let is_young = age < YOUNG_AGE;
        let rank = match self.phase {
            _ if self.is_closing => return None,
            ConnectionPhase::Serving => return None,
            ConnectionPhase::Lingering => (0, 0),
            ConnectionPhase::Head | ConnectionPhase::Body | ConnectionPhase::Reply if !is_young => {
                (1, self.rate(now))
            }
            ConnectionPhase::Idle if !is_young => (2, 0),
            _ => (3, 0),
        };
        Some((rank.0, rank.1, Reverse(age)))
    }

    /// Why the connection has to be closed at this time, if it has to.
    fn overdue_cause(&self, now: Instant, limits: &ListenerLimits) -> Option<CloseCause> {
        let age = self.age(now);
        let unread = self.unread_since.map(|since| now.saturating_duration_since(since));
        let is_unread = unread.is_some_and(|unread| unread > limits.reply_timeout);
        let is_slow = age > limits.rate_grace && self.rate(now) < limits.min_body_rate;
        let (is_overdue, cause) = match self.phase {
            ConnectionPhase::Serving | ConnectionPhase::Lingering => return None,
            _ if is_unread => (true, CloseCause::SlowReader),
            ConnectionPhase::Idle => (age > limits.idle_timeout, CloseCause::Idle),
            ConnectionPhase::Head => (age > limits.header_timeout, CloseCause::SlowHead),
            ConnectionPhase::Body => (age > limits.body_timeout || is_slow, CloseCause::SlowBody),
            ConnectionPhase::Reply => (false, CloseCause::SlowReader),
        };
        (is_overdue && !self.is_closing).then_some(cause)
    }
}

/// Whether a new connection is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OpenStep {
    /// It is accepted under this number.
    Accept(ConnectionId),
    /// It is accepted under the first number, and the other one is closed for it.
    Replace(ConnectionId, ConnectionId),
    /// It is closed.
    Refuse,
}

/// Whether bytes of a request may be held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveStep {
    /// They may, once these connections are closed.
    Grant(Vec<ConnectionId>),
    /// They may not; the request is refused.
    Refuse,
}

/// What a listener has refused and closed in an interval.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableSummary {
    /// Length of the interval.
    pub interval: Duration,
    /// Connections and requests by cause; causes without any are left out.
    pub closed: Vec<(CloseCause, u64)>,
    /// Open connections at its end.
    pub open: usize,
    /// Most connections that were open at a time.
    pub max_open: usize,
    /// Most bytes that were held at a time.
    pub max_held_bytes: u64,
}

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ListenerLimits,
    connections: IndexMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    /// Connections that aren't closing.
    open: usize,
    held: u64,
    interval_start: Instant,
    closed: [u64; CloseCause::COUNT],
    max_open: usize,
    max_held: u64,
    /// Most memory that connections and held bytes took since memory was last returned to the
    /// system.
    burst_peak: u64,
    returned_at: Instant,
}

impl ConnectionTable {
    /// Creates the table of a listener without connections.
    pub fn new(now: Instant, limits: ListenerLimits) -> ConnectionTable {
        ConnectionTable {
            limits,
            connections: IndexMap::new(),
            next_id: 1,
            open: 0,
            held: 0,
            interval_start: now,
            closed: [0; CloseCause::COUNT],
            max_open: 0,
            max_held: 0,
            burst_peak: 0,
            returned_at: now,
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> &ListenerLimits {
        &self.limits
    }

    /// Changes the times that the configuration can set.
    pub fn set_timeouts(&mut self, header: Duration, idle: Duration) {
        self.limits.header_timeout = header;
        self.limits.idle_timeout = idle;
    }

    /// Number of connections that have not been told to close.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held
    }

    /// Decides on a new connection.
    pub fn on_connect(&mut self, now: Instant) -> OpenStep {
        let victim = match self.open >= self.limits.max_connections {
            true => match self.first_to_close(now, |_, _| true) {
                Some(victim) => Some(victim),
                None => {
                    self.count(CloseCause::Refused);
                    return OpenStep::Refuse;
                }
            },
            false => None,
        };
        if let Some(victim) = victim {
            self.close(victim, CloseCause::GaveWay);
        }
        let id = self.next_id;
        self.next_id += 1;
        let (phase, since) = (ConnectionPhase::Idle, now);
        let unread_since = None;
        let connection =
            Connection { phase, since, unread_since, bytes: 0, held: 0, is_closing: false };
        self.connections.insert(id, connection);
        self.open += 1;
        self.max_open = self.max_open.max(self.open);
        self.burst_peak = self.burst_peak.max(self.used_memory());
        victim.map_or(OpenStep::Accept(id), |victim| OpenStep::Replace(id, victim))
    }

    /// Records bytes that have arrived.
    pub fn on_bytes(&mut self, now: Instant, id: ConnectionId, bytes: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.phase == ConnectionPhase::Idle {
            connection.enter(ConnectionPhase::Head, now);
        }
        connection.bytes += bytes;
    }

    /// Records that the head of a request was read.
    pub fn on_request(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Serving);
    }

    /// Records that the next message of another process is awaited, which is not known yet.
    pub fn on_head_start(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Head);
    }

    /// Refuses a connection for which there is no room, although it was accepted.
    pub fn refuse(&mut self, id: ConnectionId) {
        self.close(id, CloseCause::Refused);
    }

    /// Records that the body of the request is being read from here on.
    pub fn on_body_start(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Body);
    }

    /// Records that the whole body was read.
    pub fn on_body_end(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Serving);
    }

    /// Records that a reply was built, which the client has to read.
    pub fn on_reply(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Reply);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.unread_since.get_or_insert(now);
        }
    }

    /// Records that all bytes of a reply were written.
    pub fn on_flushed(&mut self, now: Instant, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.unread_since = None;
        if connection.phase == ConnectionPhase::Reply {
            connection.enter(ConnectionPhase::Idle, now);
        }
    }

    /// Records that what still arrives on the connection is dropped.
    pub fn on_linger(&mut self, now: Instant, id: ConnectionId) {
        self.enter(now, id, ConnectionPhase::Lingering);
    }

    /// Decides whether this many more bytes of the connection's request may be held.
    pub fn reserve(&mut self, now: Instant, id: ConnectionId, bytes: u64) -> ReserveStep {
        let Some(connection) = self.connections.get(&id) else { return ReserveStep::Refuse };
        if connection.is_closing {
            return ReserveStep::Refuse;
        }
        if bytes > self.limits.max_held_bytes {
            return self.refuse_body();
        }
        let own_rank = connection.close_rank(now);
        let gives_way = |rank: Option<_>| own_rank.is_none() || rank < own_rank;
        let mut victims = Vec::new();
        while self.held + bytes > self.limits.max_held_bytes {
            // A request gives way to none that is slower or older than itself, and one that
            // was read in full to none.
            let victim = self.first_to_close(now, |other, connection| {
                other != id && connection.held > 0 && gives_way(connection.close_rank(now))
            });
            let Some(victim) = victim else { return self.refuse_body() };
            self.close(victim, CloseCause::GaveWay);
            victims.push(victim);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
        }
        self.held += bytes;
        self.max_held = self.max_held.max(self.held);
        self.burst_peak = self.burst_peak.max(self.used_memory());
        ReserveStep::Grant(victims)
    }

    fn refuse_body(&mut self) -> ReserveStep {
        self.count(CloseCause::NoRoom);
        ReserveStep::Refuse
    }

    /// Records that nothing is held of the connection's request any more.
    pub fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held -= std::mem::take(&mut connection.held);
        }
    }

    /// Records that a connection has ended.
    pub fn on_closed(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.swap_remove(&id) {
            self.held -= connection.held;
            self.open -= usize::from(!connection.is_closing);
        }
    }

    /// Counts a refusal.
    pub fn count(&mut self, cause: CloseCause) {
        self.closed[cause as usize] += 1;
    }

    /// The connections that have to be closed, as their time has passed.
    pub fn overdue(&mut self, now: Instant) -> Vec<ConnectionId> {
        let limits = &self.limits;
        let overdue = self.connections.iter().filter_map(|(id, connection)| {
            connection.overdue_cause(now, limits).map(|cause| (*id, cause))
        });
        let overdue: Vec<(ConnectionId, CloseCause)> = overdue.collect();
        for (id, cause) in &overdue {
            self.close(*id, *cause);
        }
        overdue.into_iter().map(|(id, _)| id).collect()
    }

    /// Whether a burst is over whose memory is to be returned to the system; once for each.
    pub fn take_burst_end(&mut self, now: Instant) -> bool {
        let is_due = now.saturating_duration_since(self.returned_at) >= RETURN_INTERVAL;
        let used = self.used_memory();
        let is_over = is_due && self.burst_peak >= BURST_BYTES && used < self.burst_peak / 4;
        if is_over {
            self.burst_peak = used;
            self.returned_at = now;
        }
        is_over
    }

    fn used_memory(&self) -> u64 {
        self.held + self.connections.len() as u64 * KEPT_CONNECTION_BYTES
    }

    /// The summary of an interval in which something was refused or closed; `None` while the
    /// interval isn't over.
    pub fn take_summary(&mut self, now: Instant) -> Option<TableSummary> {
        let interval = now.saturating_duration_since(self.interval_start);
        if interval < SUMMARY_INTERVAL {
            return None;
        }
        let counts = CloseCause::iter().zip(self.closed);
        let closed: Vec<(CloseCause, u64)> = counts.filter(|(_, count)| *count > 0).collect();
        let summary = TableSummary {
            interval,
            closed,
            open: self.open,
            max_open: self.max_open,
            max_held_bytes: self.max_held,
        };
        self.interval_start = now;
        self.closed = [0; CloseCause::COUNT];
        self.max_open = self.open;
        self.max_held = self.held;
        (!summary.closed.is_empty()).then_some(summary)
    }

    fn enter(&mut self, now: Instant, id: ConnectionId, phase: ConnectionPhase) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.enter(phase, now);
        }
    }

    /// The connection that is closed before all others, of those that may be.
    fn first_to_close(
        &self,
        now: Instant,
        may_close: impl Fn(ConnectionId, &Connection) -> bool,
    ) -> Option<ConnectionId> {
        let candidates = self.connections.iter().filter(|(id, other)| may_close(**id, other));
        let ranked = candidates.filter_map(|(id, other)| Some((other.close_rank(now)?, *id)));
        ranked.min().map(|(_, id)| id)
    }

    /// Marks a connection as closing; what is held of its request is free at once, as its
    /// connection drops it before it does anything else.
    fn close(&mut self, id: ConnectionId, cause: CloseCause) {
        if let Some(connection) = self.connections.get_mut(&id)
            && !connection.is_closing
        {
            connection.is_closing = true;
            self.open -= 1;
            self.held -= std::mem::take(&mut connection.held);
            self.count(cause);
        }
    }
}
