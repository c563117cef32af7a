//! Owns the settings of the three roles: their types, defaults and schemas.
//!
//! Invariant: settings that were read are complete and within their ranges.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, NodeId, RackId, WorkerId};
use crate::schema::{FieldRule, ValidationError, ValueSchema, optional, read_document, required};

const MAX_DURATION_MS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MAX_QUEUE_LENGTH: u64 = 1_000_000;
/// Memory that a process can work with, in MB.
pub const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=16_000_000;
/// Number of file descriptors that a process can work with.
pub const MAX_FDS_RANGE: RangeInclusive<u64> = 64..=100_000_000;
/// Share of the capacity that precedence guarantees a queue unless the settings say otherwise.
pub const DEFAULT_GUARANTEED_SHARE: f64 = 0.1;

/// Destination and minimum level of log lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Lowest severity that is written: `error`, `warn`, `info`, `debug` or
    /// `trace`.
    pub level: CompactString,
    /// File to append to; standard output when absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub file: Option<String>,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { level: "info".into(), file: None }
    }
}

/// How work is ordered while capacity is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precedence {
    /// By guaranteed shares, then by the priority of the queue.
    Priority,
}

/// The limits that the host sets to a process. Its budgets of connections and buffers are
/// shares of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessLimits {
    /// Memory that the process may use, in MB.
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    pub max_fds: u64,
}

impl Default for ProcessLimits {
    fn default() -> ProcessLimits {
        ProcessLimits { memory_mb: 512, max_fds: 16_384 }
    }
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry.
    pub name: NodeId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Address of the HTTP server for clients.
    pub listen: SocketAddr,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// Maximum number of calls in progress.
    #[serde(default = "default_call_limit")]
    pub call_limit: usize,
    /// Maximum number of waiting tasks.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Largest request body, in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: u64,
    /// Maximum number of tasks in one job.
    #[serde(default = "default_task_limit")]
    pub task_limit: usize,
    /// Longest duration of a drain, in milliseconds.
    #[serde(default = "default_drain_limit")]
    pub drain_limit_ms: u64,
    /// RPC port of the control hosts, when `controls` lists the addresses of
    /// another of their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// HTTP server for clients of queues; absent when this entry serves none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub front: Option<FrontSettings>,
    /// Maximum number of agents that this entry connects to.
    #[serde(default = "default_agent_limit")]
    pub agent_limit: usize,
    /// Seed of random choices (backoff jitter and the randomized routing
    /// policies).
    #[serde(default)]
    pub seed: u64,
    /// Limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_call_limit() -> usize {
    4_096
}

fn default_queue_limit() -> usize {
    20_000
}

fn default_body_limit() -> u64 {
    1024 * 1024
}

fn default_task_limit() -> usize {
    180
}

fn default_drain_limit() -> u64 {
    30_000
}

fn default_agent_limit() -> usize {
    256
}

/// Settings of an entry's HTTP server for clients of queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Address of the HTTP server for clients.
    pub listen: SocketAddr,
    /// Address of the readiness probe.
    pub ready: SocketAddr,
    /// How long new requests are still accepted after the readiness probe has
    /// started to fail, in milliseconds.
    #[serde(default = "default_linger")]
    #[serde(rename = "linger_ms")]
    pub drain_delay_ms: u64,
    /// How long a backend server keeps runs executing without a lease renewal,
    /// in milliseconds.
    #[serde(default = "default_run_lease")]
    pub run_lease_ms: u64,
    /// Assumed slowdown factor of a task that runs on another rack than its
    /// data.
    #[serde(default = "default_remote_factor")]
    pub remote_factor: f64,
    /// How far run times are off from the estimates that jobs declare: the standard deviation
    /// of the natural logarithm of their ratio. Placement then weighs the risk that a task
    /// outlasts its caller; 0 takes estimates as exact.
    #[serde(default)]
    pub estimate_spread: f64,
    /// Time after which a catalog that no leader has confirmed is taken for old, in
    /// milliseconds; what it lacks may exist then. At most the time in which a change has
    /// to be in force everywhere.
    #[serde(default = "default_catalog_age")]
    pub max_catalog_age_ms: u64,
    /// Whether agents are sent estimated run times, and the speeds that they report are
    /// used.
    #[serde(default)]
    pub speed_reports: bool,
    /// Which best-effort jobs are refused, at once or while they wait.
    #[serde(default, skip_serializing_if = "AdmissionRule::is_default")]
    pub admission: AdmissionRule,
    /// How best-effort jobs are ordered while capacity is short; by latest start alone
    /// when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub precedence: Option<Precedence>,
    /// Share of the capacity that `precedence` guarantees each queue with waiting work, from 0
    /// to 1.
    #[serde(default = "default_guaranteed_share")]
    pub guaranteed_share: f64,
    /// Whether tasks leave racks in high demand to those whose data is there.
    #[serde(default)]
    pub rack_reserve: bool,
    /// Whether agents are sent the queues of jobs, and what they learn of interference
    /// between tasks is used.
    #[serde(default)]
    pub interference: bool,
}

/// Which best-effort jobs an entry refuses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionRule {
    /// Those for which the work ahead of them leaves no time, and those that have waited until
    /// they can't end while their result has a value.
    #[default]
    Backlog,
    /// Also those that are not expected to start in time, as soon as that is known.
    ExpectedStart,
}

impl AdmissionRule {
    fn is_default(&self) -> bool {
        *self == AdmissionRule::default()
    }
}

fn default_guaranteed_share() -> f64 {
    DEFAULT_GUARANTEED_SHARE
}

fn default_catalog_age() -> u64 {
    2_000
}

fn default_linger() -> u64 {
    2_500
}

/// Replaces the port of every address, if `port` is given.
fn with_port(addresses: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let replace_port =
        |address: &SocketAddr| SocketAddr::new(address.ip(), port.unwrap_or(address.port()));
    addresses.iter().map(replace_port).collect()
}

impl EntrySettings {
    /// Addresses of the control hosts' RPC servers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.controls, self.control_port)
    }

    /// Longest duration of a drain.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of the worker that the agent runs on.
    pub worker: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Address of the RPC server for entries.
    pub listen: SocketAddr,
    /// Address that entries connect to, when it differs from `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Address of the HTTP server for backend servers' announcements.
    pub announce_listen: SocketAddr,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// RPC port of the control hosts, when `controls` lists the addresses of
    /// another of their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// The single backend server that runs tasks of queues, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerSettings>,
    /// Number of processor cores of the worker.
    pub cores: u32,
    /// Memory of the worker in MB.
    pub memory_mb: u32,
    /// Number of accelerators of the worker.
    #[serde(default)]
    pub accelerators: u32,
    /// Maximum number of tasks that wait for a slot at this agent.
    #[serde(default = "default_agent_queue")]
    pub queue_limit: usize,
    /// Time to live of a backend server's announcement, in milliseconds.
    #[serde(default = "default_announce_ttl")]
    pub announce_ttl_ms: u64,
    /// How long started tasks are remembered, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: u64,
    /// Longest duration of a drain, in milliseconds.
    #[serde(default = "default_drain_limit")]
    pub drain_limit_ms: u64,
    /// Limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_agent_queue() -> usize {
    64
}

fn default_announce_ttl() -> u64 {
    3_000
}

fn default_retention() -> u64 {
    600_000
}

/// The single backend server of a worker that runs tasks of queues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// How long it keeps runs executing without a lease renewal, in
    /// milliseconds.
    pub lease_ms: u64,
    /// Whether the agent learns the server's speed and reports it.
    #[serde(default)]
    pub speed_reports: bool,
    /// Whether the agent sends a start again when its answer is late.
    #[serde(default)]
    pub resend_starts: bool,
    /// Whether the agent learns which kinds of tasks slow each other down, and reports it.
    #[serde(default)]
    pub interference: bool,
}

impl AgentSettings {
    /// Addresses of the control hosts' RPC servers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.controls, self.control_port)
    }

    /// Time to live of a backend server's announcement.
    pub fn announce_ttl(&self) -> Duration {
        Duration::from_millis(self.announce_ttl_ms)
    }

    /// How long started tasks are remembered.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }

    /// Longest duration of a drain.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Name and address of a member of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// Name of the control host.
    pub name: NodeId,
    /// Address of its RPC server.
    pub address: SocketAddr,
}

/// Settings of a control host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of the control host; with `seeds` it is named by its IP address
    /// instead.
    pub name: NodeId,
    /// Failure domain of the control host.
    pub domain: DomainId,
    /// Address of its RPC server.
    pub listen: SocketAddr,
    /// Folder of all persistent data.
    pub data_folder: String,
    /// The complete initial group, this host included. A host that joins later
    /// lists the group that it joins, without itself.
    #[serde(default)]
    pub group: Vec<ControlPeer>,
    /// Addresses of the initial group's hosts, instead of `group`; each host is
    /// then named by its IP address.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// RPC port of the seeds, when `seeds` lists the addresses of another of
    /// their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
    /// Number of hosts that may fail at once without loss of data. With
    /// `seeds`, the group is kept at 2n + 1 hosts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tolerated_losses: Option<usize>,
    /// Whether a host with an empty data folder may bootstrap a new group.
    #[serde(default = "default_found")]
    #[serde(rename = "found")]
    pub bootstrap: bool,
    /// Address of the HTTP server for operators of queues, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<SocketAddr>,
    /// How long a backend server keeps runs executing without a lease renewal,
    /// in milliseconds.
    #[serde(default = "default_run_lease")]
    pub run_lease_ms: u64,
    /// Assumed slowdown factor of a task that runs on another rack than its
    /// data.
    #[serde(default = "default_remote_factor")]
    pub remote_factor: f64,
    /// Minimum election timeout, in milliseconds; the maximum is twice that.
    #[serde(default = "default_election")]
    pub election_ms: u64,
    /// Duration of the leases of entries and agents, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// How long finished submissions are remembered, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: u64,
    /// Number of log records between snapshots.
    #[serde(default = "default_snapshot_records")]
    pub snapshot_records: u64,
    /// How stored jobs are ordered while capacity is short; by latest start alone when
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub precedence: Option<Precedence>,
    /// Share of the capacity that `precedence` guarantees each queue with waiting work, from 0
    /// to 1.
    #[serde(default = "default_guaranteed_share")]
    pub guaranteed_share: f64,
    /// Whether tasks leave racks in high demand to those whose data is there.
    #[serde(default)]
    pub rack_reserve: bool,
    /// Limits of the process.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_election() -> u64 {
    800
}

fn default_lease() -> u64 {
    10_000
}

fn default_snapshot_records() -> u64 {
    50_000
}

fn default_found() -> bool {
    true
}

fn default_run_lease() -> u64 {
    1_000
}

fn default_remote_factor() -> f64 {
    1.5
}

impl ControlSettings {
    /// The initial group, from `group` or `seeds`.
    pub fn initial_group(&self) -> Vec<ControlPeer> {
        if self.seeds.is_empty() {
            return self.group.clone();
        }
        let addresses = with_port(&self.seeds, self.seed_port);
        let to_peer = |address| ControlPeer { name: crate::host_name(address), address };
        addresses.into_iter().map(to_peer).collect()
    }

    /// Target size of a group bootstrapped from seeds: at least the number of
    /// seeds; above it, a host without contact is removed. `None` for a group
    /// listed in full, which keeps its hosts.
    pub fn target_hosts(&self) -> Option<usize> {
        if self.seeds.is_empty() {
            return None;
        }
        let group_size = self.tolerated_losses.map_or(0, |losses| 2 * losses + 1);
        Some(group_size.max(self.seeds.len()))
    }

    /// How long a backend server keeps runs executing without a lease renewal.
    pub fn run_lease(&self) -> Duration {
        Duration::from_millis(self.run_lease_ms)
    }

    /// Minimum election timeout.
    pub fn election(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    /// Duration of the leases of entries and agents.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// How long finished submissions are remembered.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

const LEVELS: &[&str] = &["error", "warn", "info", "debug", "trace"];
const LOG_FIELDS: &[FieldRule] =
    &[optional("level", ValueSchema::OneOf(LEVELS)), optional("file", ValueSchema::Text)];
const LIMIT_FIELDS: &[FieldRule] = &[
    optional("memory_mb", ValueSchema::Integer(*MEMORY_MB_RANGE.start(), *MEMORY_MB_RANGE.end())),
    optional("max_fds", ValueSchema::Integer(*MAX_FDS_RANGE.start(), *MAX_FDS_RANGE.end())),
];
const DURATION_MS: ValueSchema = ValueSchema::Integer(1, MAX_DURATION_MS);
const RETENTION_MS: ValueSchema = ValueSchema::Integer(1_000, 24 * MAX_DURATION_MS);
const PRECEDENCES: &[&str] = &["priority"];
const PORT: ValueSchema = ValueSchema::Integer(1, 65_535);
/// Rules other than the default, which applies where the setting is absent.
const ADMISSION_RULES: &[&str] = &["expected_start"];
const FRONT_FIELDS: &[FieldRule] = &[
    required("listen", ValueSchema::Address),
    required("ready", ValueSchema::Address),
    optional("linger_ms", DURATION_MS),
    optional("run_lease_ms", DURATION_MS),
    optional("remote_factor", ValueSchema::Number(1.0, 100.0)),
    optional("estimate_spread", ValueSchema::Number(0.0, 2.0)),
    optional("max_catalog_age_ms", DURATION_MS),
    optional("speed_reports", ValueSchema::Boolean),
    optional("admission", ValueSchema::OneOf(ADMISSION_RULES)),
    optional("precedence", ValueSchema::OneOf(PRECEDENCES)),
    optional("guaranteed_share", ValueSchema::Number(0.0, 1.0)),
    optional("rack_reserve", ValueSchema::Boolean),
    optional("interference", ValueSchema::Boolean),
];
const SERVER_FIELDS: &[FieldRule] = &[
    required("address", ValueSchema::Address),
    required("lease_ms", DURATION_MS),
    optional("speed_reports", ValueSchema::Boolean),
    optional("resend_starts", ValueSchema::Boolean),
    optional("interference", ValueSchema::Boolean),
];
const ADDRESSES: ValueSchema = ValueSchema::List(&ValueSchema::Address);
const PEER_FIELDS: &[FieldRule] =
    &[required("name", ValueSchema::Name), required("address", ValueSchema::Address)];

const ENTRY_SCHEMA: ValueSchema = ValueSchema::Object(&[
    required("name", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("listen", ValueSchema::Address),
    required("controls", ADDRESSES),
    optional("call_limit", ValueSchema::Integer(1, MAX_QUEUE_LENGTH)),
    optional("queue_limit", ValueSchema::Integer(1, MAX_QUEUE_LENGTH)),
    optional("body_limit_bytes", ValueSchema::Integer(1, MAX_BODY_BYTES)),
    optional("task_limit", ValueSchema::Integer(1, 10_000)),
    optional("drain_limit_ms", DURATION_MS),
    optional("control_port", PORT),
    optional("front", ValueSchema::Object(FRONT_FIELDS)),
    optional("agent_limit", ValueSchema::Integer(1, 10_000)),
    optional("seed", ValueSchema::Integer(0, u64::MAX)),
    optional("limits", ValueSchema::Object(LIMIT_FIELDS)),
    optional("log", ValueSchema::Object(LOG_FIELDS)),
]);

const AGENT_SCHEMA: ValueSchema = ValueSchema::Object(&[
    required("worker", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("rack", ValueSchema::Name),
    required("listen", ValueSchema::Address),
    optional("advertise", ValueSchema::Address),
    required("announce_listen", ValueSchema::Address),
    required("controls", ADDRESSES),
    optional("control_port", PORT),
    optional("server", ValueSchema::Object(SERVER_FIELDS)),
    required("cores", ValueSchema::Integer(1, 4_096)),
    required("memory_mb", ValueSchema::Integer(1, 16_000_000)),
    optional("accelerators", ValueSchema::Integer(0, 64)),
    optional("queue_limit", ValueSchema::Integer(0, 100_000)),
    optional("announce_ttl_ms", DURATION_MS),
    optional("retention_ms", RETENTION_MS),
    optional("drain_limit_ms", DURATION_MS),
    optional("limits", ValueSchema::Object(LIMIT_FIELDS)),
    optional("log", ValueSchema::Object(LOG_FIELDS)),
]);

const CONTROL_SCHEMA: ValueSchema = ValueSchema::Object(&[
    required("name", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("listen", ValueSchema::Address),
    required("data_folder", ValueSchema::Text),
    optional("group", ValueSchema::List(&ValueSchema::Object(PEER_FIELDS))),
    optional("seeds", ADDRESSES),
    optional("seed_port", PORT),
    optional("tolerated_losses", ValueSchema::Integer(0, 16)),
    optional("found", ValueSchema::Boolean),
    optional("operators", ValueSchema::Address),
    optional("run_lease_ms", DURATION_MS),
    optional("remote_factor", ValueSchema::Number(1.0, 100.0)),
    optional("election_ms", ValueSchema::Integer(50, 60_000)),
    optional("lease_ms", ValueSchema::Integer(500, 15_000)),
    optional("retention_ms", RETENTION_MS),
    optional("snapshot_records", ValueSchema::Integer(16, 10_000_000)),
    optional("precedence", ValueSchema::OneOf(PRECEDENCES)),
    optional("guaranteed_share", ValueSchema::Number(0.0, 1.0)),
    optional("rack_reserve", ValueSchema::Boolean),
    optional("limits", ValueSchema::Object(LIMIT_FIELDS)),
    optional("log", ValueSchema::Object(LOG_FIELDS)),
]);

/// Reads and validates an entry's settings.
///
/// # Errors
/// Every validation error with its path.
pub fn read_entry_settings(text: &str) -> Result<EntrySettings, Vec<ValidationError>> {
    let settings: EntrySettings = read_document(text, &ENTRY_SCHEMA)?;
    check_controls(&settings.controls)?;
    Ok(settings)
}

/// Reads and validates an agent's settings.
///
/// # Errors
/// Every validation error with its path.
pub fn read_agent_settings(text: &str) -> Result<AgentSettings, Vec<ValidationError>> {
    let settings: AgentSettings = read_document(text, &AGENT_SCHEMA)?;
    check_controls(&settings.controls)?;
    Ok(settings)
}

/// Reads and validates a control host's settings.
///
/// # Errors
/// Every validation error with its path.
pub fn read_control_settings(text: &str) -> Result<ControlSettings, Vec<ValidationError>> {
    let settings: ControlSettings = read_document(text, &CONTROL_SCHEMA)?;
    let mut errors = Vec::new();
    if settings.group.is_empty() && settings.seeds.is_empty() {
        errors.push(settings_error("$.group", "expected at least one control host"));
    }
    for (position, peer) in settings.group.iter().enumerate() {
        if settings.group[..position].iter().any(|earlier| earlier.name == peer.name) {
            let path = format!("$.group[{position}].name");
            errors.push(settings_error(&path, "expected a name that is unique in the group"));
        }
    }
    if errors.is_empty() { Ok(settings) } else { Err(errors) }
}

fn check_controls(controls: &[SocketAddr]) -> Result<(), Vec<ValidationError>> {
    if controls.is_empty() {
        return Err(vec![settings_error("$.controls", "expected at least one address")]);
    }
    Ok(())
}

fn settings_error(path: &str, expected: &str) -> ValidationError {
    ValidationError { path: path.to_owned(), expected: expected.to_owned() }
}
