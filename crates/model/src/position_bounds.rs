//! Bounds of the numbers by which messages are told to be later than others. A receiver
//! keeps the highest, so that one odd message would hide all true ones.

use crate::ids::{Incarnation, LogIndex, SessionId, Term};

/// Most terms by which a correct host is ahead of another: 13 years of an election each
/// 0.1 s. One odd message therefore raises a term by no more, and terms never run out.
const MAX_TERM_LEAD: Term = 1 << 32;

/// Most log positions by which a correct host is ahead of another: 900 years of 10,000
/// records a second.
const MAX_INDEX_LEAD: LogIndex = 1 << 48;

/// Highest incarnation of a process, in milliseconds since 1970: the year 10,889.
pub const MAX_INCARNATION: Incarnation = 1 << 48;

/// Highest number of a connection of one process.
pub const MAX_SESSION: SessionId = 1 << 48;

/// Highest term that a process without knowledge follows: it can't tell how far its group has
/// come, which may have accepted odd terms before.
const MAX_FIRST_TERM: Term = 1 << 62;

/// Whether a correct host can have reached this term, given the latest one known here; 0 if
/// none is.
pub fn is_reachable_term(known: Term, term: Term) -> bool {
    let highest = if known == 0 { MAX_FIRST_TERM } else { known.saturating_add(MAX_TERM_LEAD) };
    term <= highest
}

/// Whether a correct host's log can have reached this index, given the last one here.
pub fn is_reachable_index(known: LogIndex, index: LogIndex) -> bool {
    index <= known.saturating_add(MAX_INDEX_LEAD)
}
