//! Owns the ids as type aliases, and the names of the micro-kernel's services.

use compact_str::CompactString;
use strum::{Display, EnumString, IntoStaticStr};

/// A team: the unit of quotas and fair sharing.
pub type TeamId = CompactString;
/// A service that operators declare in their text.
pub type ServiceId = CompactString;
/// A client-chosen submission id, unique within its team.
pub type SubmissionId = CompactString;
/// Position of a task within its job, from 0.
pub type TaskIndex = u32;
/// A worker: the host of one or more backend servers.
pub type WorkerId = CompactString;
/// A process of any role, by the name in its settings.
pub type NodeId = CompactString;
/// A failure domain.
pub type DomainId = CompactString;
/// A rack.
pub type RackId = CompactString;
/// Grows with each start of a process: milliseconds since 1970 at its start.
pub type Incarnation = u64;
/// Order of the start attempts of one task: claim epoch in the high 32 bits,
/// attempt number in the low 32 bits.
pub type AttemptId = u64;
/// How often the ownership of a submission has moved.
pub type ClaimEpoch = u32;
/// Version of the accepted configuration; 0 means none yet.
pub type ConfigVersion = u64;
/// Version of the member list.
pub type MembersVersion = u64;
/// An operator's request id; a resend carries the same one.
pub type RequestId = CompactString;
/// A caller's connection-local call.
pub type CallId = u64;
/// Fingerprint of content, see [`crate::fingerprint`].
pub type Fingerprint = u64;
/// Election term of the replicated log.
pub type Term = u64;
/// A job of a queue; its caller chooses it.
pub type JobId = CompactString;
/// A queue that callers hand jobs to.
pub type QueueId = CompactString;
/// Position of a step within its job, from 0.
pub type StepIndex = u32;
/// Occurrence of a repeated job, from 0.
pub type Occurrence = u64;
/// Counts the starts of one task, from 1.
pub type RunNumber = u64;
/// A label of a backend server: its kind or its rack.
pub type LabelId = CompactString;
/// One life of a backend server: from its start to its end.
pub type LifeId = CompactString;
/// Position in a backend server's list of ended runs, from 1.
pub type EndNumber = u64;
/// Fencing token of the calls to a backend server; a lower one than it has
/// seen does nothing there.
pub type FenceNumber = u64;
/// Counts the connections of one agent to control.
pub type SessionId = u64;
/// Position in the replicated log, from 1; 0 is before the first record.
pub type LogIndex = u64;

/// The attempt `number` of claim epoch `epoch`.
pub fn attempt_id(epoch: ClaimEpoch, number: u32) -> AttemptId {
    (u64::from(epoch) << 32) | u64::from(number)
}

/// Names under which the services of one process find each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServiceName {
    /// Writes log lines.
    LogWriter,
    /// Entry: the callers' HTTP server.
    CallerEdge,
    /// Entry: job tracking.
    JobTracking,
    /// Entry: admission, fair queueing, placement and retries.
    TaskDispatch,
    /// Entry: connections to agents.
    AgentLinks,
    /// Entry and agent: connection to the control hosts.
    ControlLink,
    /// Agent: start table, slots and lease.
    TaskStarts,
    /// Agent: the peers' RPC server.
    AgentEdge,
    /// Agent: announcements from and calls to backend servers.
    BackendEdge,
    /// Control: the replicated log and the state it builds.
    ReplicatedLog,
    /// Control: the journal on disk.
    JournalWriter,
    /// Control: leases of entries and agents, and who watches for changes.
    Membership,
    /// Control: the RPC server for nodes, operators and other replicas.
    ControlEdge,
    /// Control: connections to the other replicas.
    ReplicaLinks,
    /// Control: joins the group, on a host that is new to it.
    GroupJoin,
    /// Control and entry: where the tasks of queued jobs run.
    JobScheduling,
    /// Control: the operators' HTTP server.
    OperatorFront,
    /// Entry: the queues' callers.
    QueueFront,
    /// Entry: calls about queued jobs, on their way to control.
    JobCalls,
    /// Agent: runs on its backend server, their lease and their ends.
    ServerRuns,
    /// Agent: HTTP calls from and to its backend server.
    ServerFront,
    /// Agent: connections to schedulers.
    ScheduleLink,
    /// Entry: the agents' RPC server.
    ScheduleEdge,
}
