//! Owns the settings of the three roles: their types, defaults and schemas.
//!
//! Invariant: settings that were read are complete and within their ranges.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{DomainId, NodeId, RackId, WorkerId};
use crate::schema::{FieldRule, Mistake, Shape, optional, read_document, required};

const MAX_MILLIS: u64 = 3_600_000;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
const MAX_RING: u64 = 1_000_000;

/// Where log lines go and from which level.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// Least level that is written: `error`, `warn`, `info`, `debug` or `trace`.
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

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The entry's name.
    pub name: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address of the callers' HTTP server.
    pub listen: SocketAddr,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// Calls in progress at a time.
    #[serde(default = "default_call_limit")]
    pub call_limit: usize,
    /// Tasks waiting at a time.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Largest body in bytes.
    #[serde(default = "default_body_limit")]
    pub body_limit_bytes: u64,
    /// Tasks in one job.
    #[serde(default = "default_task_limit")]
    pub task_limit: usize,
    /// How long a drain may take, in milliseconds.
    #[serde(default = "default_drain_limit")]
    pub drain_limit_ms: u64,
    /// Port of the control hosts' RPC servers, when `controls` names them by
    /// the address of another of their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// Where callers of queues are served, if they are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub front: Option<FrontSettings>,
    /// How many agents this entry connects to at most.
    #[serde(default = "default_agent_limit")]
    pub agent_limit: usize,
    /// Seed of random choices (backoff jitter, baselines of routing).
    #[serde(default)]
    pub seed: u64,
    /// Logs.
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

/// Where an entry serves callers of queues.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Address of the callers' HTTP server.
    pub listen: SocketAddr,
    /// Address at which readiness is asked for.
    pub ready: SocketAddr,
    /// How long new requests are still served after readiness fails, in
    /// milliseconds.
    #[serde(default = "default_linger")]
    pub linger_ms: u64,
    /// How long a backend server keeps runs at work without a renewal, in
    /// milliseconds.
    #[serde(default = "default_run_lease")]
    pub run_lease_ms: u64,
    /// How much longer a task runs on another rack than that of its data.
    #[serde(default = "default_remote_factor")]
    pub remote_factor: f64,
}

fn default_linger() -> u64 {
    2_500
}

/// The addresses with another port, if one is named.
fn with_port(addresses: &[SocketAddr], port: Option<u16>) -> Vec<SocketAddr> {
    let moved =
        |address: &SocketAddr| SocketAddr::new(address.ip(), port.unwrap_or(address.port()));
    addresses.iter().map(moved).collect()
}

impl EntrySettings {
    /// Addresses of the control hosts' RPC servers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.controls, self.control_port)
    }

    /// How long a drain may take.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The worker that the agent runs beside.
    pub worker: WorkerId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its rack.
    pub rack: RackId,
    /// Address of the RPC server for entries.
    pub listen: SocketAddr,
    /// Address that entries are told, when it differs from `listen`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
    /// Address of the HTTP server for backend servers' announcements.
    pub announce_listen: SocketAddr,
    /// Addresses of the control hosts.
    pub controls: Vec<SocketAddr>,
    /// Port of the control hosts' RPC servers, when `controls` names them by
    /// the address of another of their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control_port: Option<u16>,
    /// The one backend server that runs tasks of queues, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server: Option<ServerSettings>,
    /// Processor cores of the worker.
    pub cores: u32,
    /// Memory of the worker in MB.
    pub memory_mb: u32,
    /// Accelerators of the worker.
    #[serde(default)]
    pub accelerators: u32,
    /// Tasks that may wait for a slot here.
    #[serde(default = "default_agent_queue")]
    pub queue_limit: usize,
    /// How long an announcement holds without being repeated, in milliseconds.
    #[serde(default = "default_announce_ttl")]
    pub announce_ttl_ms: u64,
    /// How long started tasks are remembered, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: u64,
    /// How long a drain may take, in milliseconds.
    #[serde(default = "default_drain_limit")]
    pub drain_limit_ms: u64,
    /// Logs.
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

/// The backend server that runs tasks of queues.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// Where it takes calls.
    pub address: SocketAddr,
    /// How long it keeps runs at work without a renewal, in milliseconds.
    pub lease_ms: u64,
}

impl AgentSettings {
    /// Addresses of the control hosts' RPC servers.
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        with_port(&self.controls, self.control_port)
    }

    /// How long an announcement holds without being repeated.
    pub fn announce_ttl(&self) -> Duration {
        Duration::from_millis(self.announce_ttl_ms)
    }

    /// How long started tasks are remembered.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }

    /// How long a drain may take.
    pub fn drain_limit(&self) -> Duration {
        Duration::from_millis(self.drain_limit_ms)
    }
}

/// A control host as its group knows it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlPeer {
    /// The control host's name.
    pub name: NodeId,
    /// Address of its RPC server.
    pub address: SocketAddr,
}

/// Settings of a control host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The control host's name.
    pub name: NodeId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Address of its RPC server.
    pub listen: SocketAddr,
    /// Folder for everything that must survive.
    pub data_folder: String,
    /// The whole first group, this host included. A host that joins later
    /// names the group it joins and is not in it.
    #[serde(default)]
    pub group: Vec<ControlPeer>,
    /// Addresses of the first group's hosts in place of `group`; each host is
    /// then named by its IP address.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// Port of the seeds' RPC servers, when they are named by the address of
    /// another of their servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_port: Option<u16>,
    /// Hosts that may be lost at once while nothing is; with `seeds`, the group
    /// is kept at twice as many and one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tolerated_losses: Option<usize>,
    /// Whether an empty data folder may found a new group.
    #[serde(default = "default_found")]
    pub found: bool,
    /// Address of the HTTP server for operators of queues, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<SocketAddr>,
    /// How long a backend server keeps runs at work without a renewal, in
    /// milliseconds.
    #[serde(default = "default_run_lease")]
    pub run_lease_ms: u64,
    /// How much longer a task runs on another rack than that of its data.
    #[serde(default = "default_remote_factor")]
    pub remote_factor: f64,
    /// Least election timeout in milliseconds; the longest is twice that.
    #[serde(default = "default_election")]
    pub election_ms: u64,
    /// How long entries' and agents' leases last, in milliseconds.
    #[serde(default = "default_lease")]
    pub lease_ms: u64,
    /// How long finished submissions are remembered, in milliseconds.
    #[serde(default = "default_retention")]
    pub retention_ms: u64,
    /// Log records between snapshots.
    #[serde(default = "default_snapshot_records")]
    pub snapshot_records: u64,
    /// Logs.
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
    /// The first group.
    pub fn first_group(&self) -> Vec<ControlPeer> {
        if self.seeds.is_empty() {
            return self.group.clone();
        }
        let addresses = with_port(&self.seeds, self.seed_port);
        let named = |address| ControlPeer { name: crate::host_name(address), address };
        addresses.into_iter().map(named).collect()
    }

    /// Hosts that a group formed from seeds is kept at: beyond it, one that is
    /// silent leaves. A group that is listed whole stays as it is.
    pub fn wanted_hosts(&self) -> Option<usize> {
        if self.seeds.is_empty() {
            return None;
        }
        let quorum_safe = self.tolerated_losses.map_or(0, |losses| 2 * losses + 1);
        Some(quorum_safe.max(self.seeds.len()))
    }

    /// How long a backend server keeps runs at work without a renewal.
    pub fn run_lease(&self) -> Duration {
        Duration::from_millis(self.run_lease_ms)
    }

    /// Least election timeout.
    pub fn election(&self) -> Duration {
        Duration::from_millis(self.election_ms)
    }

    /// How long entries' and agents' leases last.
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
    &[optional("level", Shape::Word(LEVELS)), optional("file", Shape::Text)];
const MILLIS: Shape = Shape::Count(1, MAX_MILLIS);
const RETENTION: Shape = Shape::Count(1_000, 24 * MAX_MILLIS);
const PORT: Shape = Shape::Count(1, 65_535);
const FRONT_FIELDS: &[FieldRule] = &[
    required("listen", Shape::Address),
    required("ready", Shape::Address),
    optional("linger_ms", MILLIS),
    optional("run_lease_ms", MILLIS),
    optional("remote_factor", Shape::Ratio(1.0, 100.0)),
];
const SERVER_FIELDS: &[FieldRule] =
    &[required("address", Shape::Address), required("lease_ms", MILLIS)];
const ADDRESSES: Shape = Shape::List(&Shape::Address);
const PEER_FIELDS: &[FieldRule] =
    &[required("name", Shape::Name), required("address", Shape::Address)];

const ENTRY_SHAPE: Shape = Shape::Object(&[
    required("name", Shape::Name),
    required("domain", Shape::Name),
    required("listen", Shape::Address),
    required("controls", ADDRESSES),
    optional("call_limit", Shape::Count(1, MAX_RING)),
    optional("queue_limit", Shape::Count(1, MAX_RING)),
    optional("body_limit_bytes", Shape::Count(1, MAX_BODY_BYTES)),
    optional("task_limit", Shape::Count(1, 10_000)),
    optional("drain_limit_ms", MILLIS),
    optional("control_port", PORT),
    optional("front", Shape::Object(FRONT_FIELDS)),
    optional("agent_limit", Shape::Count(1, 10_000)),
    optional("seed", Shape::Count(0, u64::MAX)),
    optional("log", Shape::Object(LOG_FIELDS)),
]);

const AGENT_SHAPE: Shape = Shape::Object(&[
    required("worker", Shape::Name),
    required("domain", Shape::Name),
    required("rack", Shape::Name),
    required("listen", Shape::Address),
    optional("advertise", Shape::Address),
    required("announce_listen", Shape::Address),
    required("controls", ADDRESSES),
    optional("control_port", PORT),
    optional("server", Shape::Object(SERVER_FIELDS)),
    required("cores", Shape::Count(1, 4_096)),
    required("memory_mb", Shape::Count(1, 16_000_000)),
    optional("accelerators", Shape::Count(0, 64)),
    optional("queue_limit", Shape::Count(0, 100_000)),
    optional("announce_ttl_ms", MILLIS),
    optional("retention_ms", RETENTION),
    optional("drain_limit_ms", MILLIS),
    optional("log", Shape::Object(LOG_FIELDS)),
]);

const CONTROL_SHAPE: Shape = Shape::Object(&[
    required("name", Shape::Name),
    required("domain", Shape::Name),
    required("listen", Shape::Address),
    required("data_folder", Shape::Text),
    optional("group", Shape::List(&Shape::Object(PEER_FIELDS))),
    optional("seeds", ADDRESSES),
    optional("seed_port", PORT),
    optional("tolerated_losses", Shape::Count(0, 16)),
    optional("found", Shape::Flag),
    optional("operators", Shape::Address),
    optional("run_lease_ms", MILLIS),
    optional("remote_factor", Shape::Ratio(1.0, 100.0)),
    optional("election_ms", Shape::Count(50, 60_000)),
    optional("lease_ms", Shape::Count(500, 15_000)),
    optional("retention_ms", RETENTION),
    optional("snapshot_records", Shape::Count(16, 10_000_000)),
    optional("log", Shape::Object(LOG_FIELDS)),
]);

/// Reads an entry's settings.
///
/// # Errors
/// Every mistake with its place.
pub fn read_entry_settings(text: &str) -> Result<EntrySettings, Vec<Mistake>> {
    let settings: EntrySettings = read_document(text, &ENTRY_SHAPE)?;
    check_controls(&settings.controls)?;
    Ok(settings)
}

/// Reads an agent's settings.
///
/// # Errors
/// Every mistake with its place.
pub fn read_agent_settings(text: &str) -> Result<AgentSettings, Vec<Mistake>> {
    let settings: AgentSettings = read_document(text, &AGENT_SHAPE)?;
    check_controls(&settings.controls)?;
    Ok(settings)
}

/// Reads a control host's settings.
///
/// # Errors
/// Every mistake with its place.
pub fn read_control_settings(text: &str) -> Result<ControlSettings, Vec<Mistake>> {
    let settings: ControlSettings = read_document(text, &CONTROL_SHAPE)?;
    let mut mistakes = Vec::new();
    if settings.group.is_empty() && settings.seeds.is_empty() {
        mistakes.push(group_mistake("$.group", "expected at least one control host"));
    }
    for (position, peer) in settings.group.iter().enumerate() {
        if settings.group[..position].iter().any(|earlier| earlier.name == peer.name) {
            let place = format!("$.group[{position}].name");
            mistakes.push(group_mistake(&place, "expected a name that no earlier host has"));
        }
    }
    if mistakes.is_empty() { Ok(settings) } else { Err(mistakes) }
}

fn check_controls(controls: &[SocketAddr]) -> Result<(), Vec<Mistake>> {
    if controls.is_empty() {
        return Err(vec![group_mistake("$.controls", "expected at least one address")]);
    }
    Ok(())
}

fn group_mistake(place: &str, expected: &str) -> Mistake {
    Mistake { place: place.to_owned(), expected: expected.to_owned() }
}
