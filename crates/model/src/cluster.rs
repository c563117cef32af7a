//! Owns the cluster state that processes share: members with their leases, the
//! capacity and load of workers, and the view that control distributes.
//!
//! Invariant: terms and versions only increase; a view with a lower term than
//! seen before is ignored.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::config_delta::ConfigDelta;
use crate::ids::{
    ConfigVersion, DomainId, Incarnation, MembersVersion, NodeId, RackId, ServiceId, Term, WorkerId,
};
use crate::operator_config::OperatorConfig;

/// Role of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum NodeRole {
    /// Serves clients and places their tasks.
    Entry,
    /// Starts tasks at the backend servers of its worker.
    Agent,
}

/// An entry or agent with a valid lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The member's name.
    pub node: NodeId,
    /// Entry or agent.
    pub role: NodeRole,
    /// The member's incarnation, which increases with each start of its
    /// process.
    pub incarnation: Incarnation,
    /// Address at which peers reach the member: an agent's RPC server, an
    /// entry's HTTP server.
    pub address: SocketAddr,
    /// The member's failure domain.
    pub domain: DomainId,
}

/// Resources of a worker, or the declared need of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerSize {
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl WorkerSize {
    /// Whether `need` fits this size in every dimension.
    pub fn fits(&self, need: &WorkerSize) -> bool {
        need.cores <= self.cores
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }
}

/// Slots that the live backend servers of one service offer on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlots {
    /// The service that the slots run.
    pub service: ServiceId,
    /// Maximum number of tasks running at a time.
    pub slots: u32,
    /// Number of tasks running now, of all entries.
    pub running: u32,
    /// Number of tasks queued at the agent now, of all entries.
    pub queued: u32,
}

/// Capacity and load of a worker, as its agent reports them to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentView {
    /// Name of the worker.
    pub worker: WorkerId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Increases when `incarnation`, `draining` or the slots of a service change,
    /// but not when only `running` or `queued` do.
    pub version: u64,
    /// Failure domain of the worker.
    pub domain: DomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Whether the worker accepts no new tasks.
    pub draining: bool,
    /// Total resources of the worker.
    pub size: WorkerSize,
    /// Slots of the live backend servers, by service.
    pub services: Vec<ServiceSlots>,
}

/// An operator configuration with its version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigInForce {
    /// Version under which control accepted it.
    pub version: ConfigVersion,
    /// The configuration itself.
    pub text: OperatorConfig,
}

/// Updates a node's configuration to the current one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigUpdate {
    /// The node already has the current configuration.
    Current,
    /// Replaces the configuration.
    #[serde(rename = "whole")]
    Full {
        /// The current configuration.
        config: ConfigInForce,
    },
    /// Changes the configuration that the node reported.
    Delta {
        /// Version after the change.
        version: ConfigVersion,
        /// The change to apply.
        delta: ConfigDelta,
    },
}

/// Updates a node's member list to the current one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersUpdate {
    /// Version after the update.
    pub version: MembersVersion,
    /// Whether `joined` is the complete list.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Members that joined or rejoined.
    pub joined: Vec<MemberRecord>,
    /// Members that left or whose lease expired.
    pub left: Vec<NodeId>,
    /// Highest fenced incarnation of each entry that has one.
    pub fences: IndexMap<NodeId, Incarnation>,
}

/// A node's heartbeat to control, which is also its long poll for changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeWatch {
    /// The node's member record.
    pub member: MemberRecord,
    /// Configuration version that the node has applied.
    pub config_version: ConfigVersion,
    /// Member list version that the node has. From an agent, it also
    /// acknowledges the fences of that version.
    pub members_version: MembersVersion,
    /// Whether the node is shutting down and releases its lease.
    pub leaving: bool,
}

/// Control's reply to a [`NodeWatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ControlView {
    /// The leader's term; a lower one than seen before is ignored.
    pub term: Term,
    /// Duration of the lease, in milliseconds from when the watch was sent.
    pub lease_ms: u64,
    /// Whether the node's incarnation has been fenced.
    pub fenced: bool,
    /// Changes of the configuration.
    pub config: ConfigUpdate,
    /// Changes of the member list, if any.
    pub members: Option<MembersUpdate>,
}
