//! What a control host tells entries, agents and operators about its group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, Term};

/// Leader and members of the control group, as one host knows them. Hosts of earlier
/// versions name the leader only.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// The leader's address, if known.
    pub leader: Option<SocketAddr>,
    /// The latest term that the host knows.
    #[serde(default)]
    pub term: Term,
    /// Addresses of the group's members; empty if unknown.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<SocketAddr>,
    /// Log position of the record that made them the group; 0 for the initial group.
    #[serde(default)]
    pub group_index: LogIndex,
}

impl LeaderHint {
    /// Age of the member list: a list with a higher one replaces it.
    pub fn group_version(&self) -> (Term, LogIndex) {
        (self.term, self.group_index)
    }
}
