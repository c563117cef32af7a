//! Owns the id types, as type aliases, and the names of the micro-kernel's
//! services.

use compact_str::CompactString;
use strum::{Display, EnumString, IntoStaticStr};

/// A team: the unit of quotas and fair sharing.
pub type TeamId = CompactString;
/// A service that the operator configuration declares.
pub type ServiceId = CompactString;
/// A client-chosen submission id, unique within its team.
pub type SubmissionId = CompactString;
/// Position of a task within its job, from 0.
pub type TaskIndex = u32;
/// A worker: the host of one or more backend servers.
pub type WorkerId = CompactString;
/// A process of any role, identified by the name in its settings.
pub type NodeId = CompactString;
/// A failure domain: hosts that may fail together.
pub type DomainId = CompactString;
/// A rack, used to place tasks near their data.
pub type RackId = CompactString;
/// Increases with each start of a process: its start time in milliseconds since
/// 1970.
pub type Incarnation = u64;
/// Orders the start attempts of one task: claim epoch in the high 32 bits,
/// attempt number in the low 32 bits.
pub type AttemptId = u64;
/// Counts the ownership changes of a submission.
pub type ClaimEpoch = u32;
/// Version of the accepted configuration; 0 before the first.
pub type ConfigVersion = u64;
/// Version of the member list, which increases with each change.
pub type MembersVersion = u64;
/// Id of an operator's request; a resend carries the same one.
pub type RequestId = CompactString;
/// Id of a call, unique within the caller's connection.
pub type CallId = u64;
/// Fingerprint of content; see [`crate::fingerprint`].
pub type Fingerprint = u64;
/// Election term of the replicated log.
pub type Term = u64;
/// Client-chosen id of a job of a queue.
pub type JobId = CompactString;
/// A queue to which clients submit jobs.
pub type QueueId = CompactString;
/// Position of a step within its job, from 0.
pub type StepIndex = u32;
/// Occurrence of a repeated job, from 0.
pub type Occurrence = u64;
/// Counts the starts of one task, from 1.
pub type RunNumber = u64;
/// A label of a backend server: its kind or its rack.
pub type LabelId = CompactString;
/// One life of a backend server, from its start to its end; identified by its
/// instance name and generation.
pub type LifeId = CompactString;
/// Position in a backend server's list of ended runs, from 1.
pub type EndNumber = u64;
/// Fencing token of calls to a backend server, which refuses a lower one than
/// it has seen.
pub type FenceNumber = u64;
/// Number of a change to the agents that an entry has given up; rises by one with each.
pub type Revision = u64;
/// Sequence number of the connections from one agent to one scheduler.
pub type SessionId = u64;
/// Position of an agent's message within its session, from 1.
pub type MessageNumber = u64;
/// Id of a connection of an agent to a scheduler, unique within the scheduler's
/// process.
pub type LinkId = u64;
/// Position in the replicated log, from 1; 0 is the position before the first
/// record.
pub type LogIndex = u64;

/// Combines claim epoch and attempt number into an id that orders attempts by
/// epoch first.
pub fn attempt_id(epoch: ClaimEpoch, number: u32) -> AttemptId {
    (u64::from(epoch) << 32) | u64::from(number)
}

/// Names under which the services of one process find each other. They are also
/// the names of the duties' threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServiceName {
    /// Writes log lines.
    LogWriter,
    /// Entry: the HTTP server for clients.
    CallerEdge,
    /// Entry: state of submissions and their answers.
    JobTracking,
    /// Entry: admission, fair queueing, placement and retries.
    TaskDispatch,
    /// Entry: connections to agents.
    AgentLinks,
    /// Entry and agent: the connection to the control hosts.
    ControlLink,
    /// Agent: started tasks, slots and the lease.
    TaskStarts,
    /// Agent: the RPC server for entries.
    AgentEdge,
    /// Agent: announcements of and calls to backend servers.
    BackendEdge,
    /// Control: the replicated log and its state machine.
    ReplicatedLog,
    /// Control: the write-ahead journal on disk.
    JournalWriter,
    /// Control: leases of entries and agents, and their watches for changes.
    Membership,
    /// Control: the RPC server for nodes, operators and other replicas.
    ControlEdge,
    /// Control: the connections to other replicas.
    ReplicaLinks,
    /// Control: joins the group, on a host that is not yet a member.
    GroupJoin,
    /// Control and entry: placement of the tasks of queued jobs.
    JobScheduling,
    /// Control: the HTTP server for operators.
    OperatorFront,
    /// Entry: the HTTP server for clients of queues.
    QueueFront,
    /// Entry: forwards calls about queued jobs to control.
    JobCalls,
    /// Agent: runs on its backend server, with their lease and their ends.
    ServerRuns,
    /// Agent: HTTP calls from and to its backend server.
    ServerFront,
    /// Agent: the connections to schedulers.
    ScheduleLink,
    /// Control and entry: the streams of agents to this process's scheduler.
    ScheduleEdge,
}
