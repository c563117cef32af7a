//! Owns the causes for which listeners refuse and close connections of clients.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Why a connection was refused or closed, or a request refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum CloseCause {
    /// It was not accepted: all connections serve requests.
    Refused,
    /// It gave way to another one, or to the body of another one.
    GaveWay,
    /// The body of its request found no room.
    NoRoom,
    /// The head of its request took too long.
    SlowHead,
    /// The body of its request took too long.
    SlowBody,
    /// Its client did not read a reply.
    SlowReader,
    /// It was idle for too long.
    Idle,
    /// The body of its request is too long.
    LongBody,
}
