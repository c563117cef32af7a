//! Owns what the processes know of each other: members with their leases,
//! what a worker holds, and the view that control spreads.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::ids::{
    ConfigVersion, DomainId, Incarnation, MembersVersion, NodeId, RackId, ServiceId, Term, WorkerId,
};
use crate::text::OperatorText;
use crate::text_delta::TextDelta;

/// Role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    Entry,
    /// Runs tasks beside backend servers.
    Agent,
}

/// A live entry or agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub node: NodeId,
    /// Its role.
    pub role: NodeRole,
    /// Grows with each start of the process.
    pub incarnation: Incarnation,
    /// Where peers reach it: the RPC server of an agent, the HTTP server of an
    /// entry.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// Processor cores, memory and accelerators of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerSize {
    /// Cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl WorkerSize {
    /// Whether something of size `wanted` fits a worker of this size.
    pub fn holds(&self, wanted: &WorkerSize) -> bool {
        wanted.cores <= self.cores
            && wanted.memory_mb <= self.memory_mb
            && wanted.accelerators <= self.accelerators
    }
}

/// Slots that the live backend servers of one service offer at one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlots {
    /// The service.
    pub service: ServiceId,
    /// Tasks that may run at a time.
    pub slots: u32,
    /// Tasks running now, of all entries.
    pub running: u32,
    /// Tasks queued at the agent now, of all entries.
    pub queued: u32,
}

/// What an agent tells entries about its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// The worker.
    pub worker: WorkerId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each change of `services` or `draining`.
    pub version: u64,
    /// Failure domain.
    pub domain: DomainId,
    /// Rack.
    pub rack: RackId,
    /// Whether the worker takes no new work.
    pub draining: bool,
    /// Size of the worker.
    pub size: WorkerSize,
    /// Live backend servers' slots by service.
    pub services: Vec<ServiceSlots>,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigInForce {
    /// Its version.
    pub version: ConfigVersion,
    /// The text.
    pub text: OperatorText,
}

/// How a node gets from the configuration it has to the current one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// Nothing is newer than what the node has.
    Current,
    /// The whole text.
    Whole {
        /// The configuration.
        config: ConfigInForce,
    },
    /// What changed since the version the node named.
    Delta {
        /// The version that comes out.
        version: ConfigVersion,
        /// The change.
        delta: TextDelta,
    },
}

/// How a node gets from the member list it has to the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// The version that comes out.
    pub version: MembersVersion,
    /// Whether `joined` is the whole list.
    pub whole: bool,
    /// Members that joined or joined anew.
    pub joined: Vec<MemberRecord>,
    /// Members that left or whose lease lapsed.
    pub left: Vec<NodeId>,
    /// Highest fenced incarnation of each entry that has one.
    pub fences: IndexMap<NodeId, Incarnation>,
}

/// A node's heartbeat to control and its question for what is new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWatch {
    /// The node as a member.
    pub member: MemberRecord,
    /// Configuration version in force there.
    pub config_version: ConfigVersion,
    /// Member list version known there; for agents, also the acknowledgement
    /// of its fences.
    pub members_version: MembersVersion,
    /// Whether the node is about to end and gives up its lease.
    pub leaving: bool,
}

/// Control's answer to a [`NodeWatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlView {
    /// The leader's term; a smaller one than seen before is ignored.
    pub term: Term,
    /// How long the lease lasts, in milliseconds from when the watch was sent.
    pub lease_ms: u64,
    /// Whether the node's incarnation has been fenced.
    pub fenced: bool,
    /// What is new of the configuration.
    pub config: ConfigUpdate,
    /// What is new of the members, if anything.
    pub members: Option<MembersUpdate>,
}
