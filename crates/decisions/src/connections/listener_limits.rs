//! Derives the limits of a listener from those of its process.
//!
//! The shares of all listeners leave at least half of the memory, and, from 256 descriptors on,
//! a third of these, to the process's other work. Socket buffers are not counted.

use std::time::Duration;

use model::ProcessLimits;

/// Memory that an open connection takes at most beside the body of its request: read buffer,
/// write buffer, task and socket.
const MAX_CONNECTION_BYTES: u64 = 32 * 1024;
/// Connections that a listener takes at least, however small the process's limits are.
const MIN_CONNECTIONS: usize = 16;
/// Bytes that a listener holds at least: one body of the usual limit, and room to replace it.
const MIN_BODY_BYTES: u64 = 1024 * 1024;
/// Maximum number of connections to a listener that serves only probes.
const PROBE_CONNECTIONS: usize = 64;

/// Bytes of first messages that are held at least: a replica may begin with a part of a
/// snapshot.
const MIN_FIRST_BYTES: u64 = 8 * 1024 * 1024;
/// Time in which another process has to send its first message: its host may be slow.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which another process has to send the first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(3);
/// Connections of known processes that are served at least.
const MIN_KNOWN_PEERS: usize = 128;

/// Time in which a body has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes a second at which a body has to arrive, counted from its start, once
/// [`RATE_GRACE`] has passed.
const MIN_BODY_RATE: u64 = 16 * 1024;
const RATE_GRACE: Duration = Duration::from_secs(2);
/// Time in which a client has to read a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a connection is read on after a refusal, so that a client that is still
/// sending sees it.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Defaults of what the configuration of queues sets.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Clients from outside: callers of an entry.
    Clients,
    /// Operators, or the backend servers beside an agent.
    Inner,
    /// Probes of readiness, without bodies.
    Probes,
    /// Other processes of the system, until their first message was read and is valid.
    Peers,
}

/// Limits of the connections to one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of bytes of bodies that are held at a time, over all connections.
    pub max_held_bytes: u64,
    /// Time in which the head of a request has to arrive, from its first byte on.
    pub header_timeout: Duration,
    /// Time for which a connection without a request is kept.
    pub idle_timeout: Duration,
    /// Time in which the body of a request has to arrive.
    pub body_timeout: Duration,
    /// Bytes a second at which a body has to arrive, from its start, after `rate_grace`.
    pub min_body_rate: u64,
    /// Time for which a body may be slower than `min_body_rate`.
    pub rate_grace: Duration,
    /// Time in which a client has to take a reply.
    pub reply_timeout: Duration,
    /// Time for which a refused connection is still read.
    pub linger_timeout: Duration,
}

impl ListenerLimits {
    /// The limits of a listener of a process with these limits.
    pub fn new(kind: ListenerKind, process: ProcessLimits) -> ListenerLimits {
        let memory_bytes = process.memory_mb * 1024 * 1024;
        // A quarter of the memory is for connections and a fifth for bodies; a half of the
        // descriptors is for connections.
        let for_memory = memory_bytes / 4 / MAX_CONNECTION_BYTES;
        let connections = for_memory.min(process.max_fds / 2) as usize;
        let (max_connections, max_held_bytes) = match kind {
            ListenerKind::Clients => (connections, memory_bytes / 5),
            ListenerKind::Inner => (connections / 2, memory_bytes / 5),
            ListenerKind::Probes => ((connections / 8).min(PROBE_CONNECTIONS), 0),
            ListenerKind::Peers => (connections / 4, memory_bytes / 6),
        };
        let min_held = match kind {
            ListenerKind::Clients | ListenerKind::Inner => MIN_BODY_BYTES,
            ListenerKind::Probes => 0,
            ListenerKind::Peers => MIN_FIRST_BYTES,
        };
        let (header_timeout, idle_timeout) = match kind {
            ListenerKind::Peers => (FIRST_MESSAGE_TIMEOUT, FIRST_BYTE_TIMEOUT),
            _ => (HEADER_TIMEOUT, IDLE_TIMEOUT),
        };
        ListenerLimits {
            max_connections: max_connections.max(MIN_CONNECTIONS),
            max_held_bytes: max_held_bytes.max(min_held),
            header_timeout,
            idle_timeout,
            body_timeout: BODY_TIMEOUT,
            min_body_rate: MIN_BODY_RATE,
            rate_grace: RATE_GRACE,
            reply_timeout: REPLY_TIMEOUT,
            linger_timeout: LINGER_TIMEOUT,
        }
    }
}

/// Maximum number of connections of known processes, beside those that are limited as
/// [`ListenerKind::Peers`].
pub fn max_known_peers(process: ProcessLimits) -> usize {
    (process.max_fds / 2).max(MIN_KNOWN_PEERS as u64) as usize
}
