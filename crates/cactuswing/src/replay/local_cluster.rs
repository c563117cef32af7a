//! Owns a complete cluster in one process: control hosts, entries, agents and
//! stand-in backend servers, connected over loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{SharedClock, SystemClock};
use model::{
    AgentSettings, Command, CommandResult, ControlPeer, ControlSettings, EntrySettings,
    LogSettings, MessageKind, OperatorConfig, ProcessLimits,
};
use snafu::{ResultExt, Snafu};
use standin::{
    BackendServer, BackendShape, Caller, FaultyLink, InstanceLine, StandinHost, StartRecords,
};
use strum::IntoEnumIterator;

use crate::control_client::{ControlClient, ControlFailure};
use crate::roles::{RoleError, RunningRole, start_agent, start_control, start_entry};

/// Time within which every entry must be ready and know every task slot of the
/// backend servers.
const ASSEMBLY_LIMIT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Why a cluster could not be started.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// A role could not be started.
    #[snafu(display("{source}"), context(false))]
    Role {
        /// The role's error.
        source: RoleError,
    },
    /// A stand-in could not be started, or no local port was free.
    #[snafu(display("can't start a stand-in or find a free port: {source}"))]
    Standin {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The operators' text could not be applied.
    #[snafu(display("can't apply the operators' text: {source}"))]
    Control {
        /// The control client's error.
        source: ControlFailure,
    },
    /// Control refused the operators' text, or an entry did not learn every slot
    /// in time.
    #[snafu(display("the cluster did not become ready: {reason}"))]
    NotAssembled {
        /// What was refused or is missing.
        reason: String,
    },
}

/// Size and settings of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterShape {
    /// Number of control hosts.
    pub controls: usize,
    /// Number of entries.
    pub entries: usize,
    /// Backend servers, one for each worker.
    pub instances: Vec<InstanceLine>,
    /// The operators' text.
    pub text: OperatorConfig,
    /// Log settings of every role.
    pub log: LogSettings,
    /// Lower bound of the election timeout and of the leader's lease, in
    /// milliseconds.
    pub election_ms: u64,
    /// Length of the members' leases, in milliseconds.
    pub lease_ms: u64,
    /// Tasks that may wait at one entry.
    pub queue_limit: usize,
    /// Whether entries reach agents, and agents control, through links that can
    /// be made to fail.
    pub faulty_links: bool,
}

impl ClusterShape {
    /// A cluster of one control host, one entry and the workers of `instances`.
    pub fn small(instances: Vec<InstanceLine>, text: OperatorConfig) -> ClusterShape {
        ClusterShape {
            controls: 1,
            entries: 1,
            instances,
            text,
            log: LogSettings { level: "warn".into(), file: None },
            election_ms: 300,
            lease_ms: 10_000,
            queue_limit: 20_000,
            faulty_links: true,
        }
    }
}

/// A worker: its agent, its backend server and the agent's links.
pub struct LocalWorker {
    /// The agent; `None` after it was stopped.
    pub agent: Option<RunningRole>,
    /// Link from the entries to the agent.
    pub peer_link: FaultyLink,
    /// Links from the agent to each control host.
    pub control_links: Vec<FaultyLink>,
    /// The backend server.
    pub backend: BackendServer,
    /// Configuration of the backend server, used again when it restarts.
    pub shape: BackendShape,
    /// Replaced backend servers, kept so that their running tasks finish.
    pub retired: Vec<BackendServer>,
}

/// A running cluster; `LocalCluster::stop` ends it and deletes its data.
pub struct LocalCluster {
    /// The stand-ins' runtime.
    pub host: StandinHost,
    /// The control hosts, in the order of `control_addresses`.
    pub controls: Vec<RunningRole>,
    /// Where the control hosts listen.
    pub control_addresses: Vec<SocketAddr>,
    /// The entries, in the order of their numbers.
    pub entries: Vec<RunningRole>,
    /// The workers, in the order of `ClusterShape::instances`.
    pub workers: Vec<LocalWorker>,
    /// Task starts, recorded by the backend servers.
    pub records: StartRecords,
    data_folder: PathBuf,
}

static NEXT_FOLDER_NUMBER: AtomicU64 = AtomicU64::new(0);

fn new_data_folder() -> PathBuf {
    let number = NEXT_FOLDER_NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("cactuswing-{}-{number}", std::process::id()))
}

impl LocalCluster {
    /// Starts a cluster and waits until every entry is ready and knows every
    /// slot.
    ///
    /// # Errors
    /// When a role or a stand-in can't be started, control refuses the text, or
    /// the entries don't learn every slot within `ASSEMBLY_LIMIT`.
    pub fn start(shape: &ClusterShape) -> Result<LocalCluster, ClusterError> {
        let clock: SharedClock = Arc::new(SystemClock);
        let host = StandinHost::start().context(StandinSnafu)?;
        let data_folder = new_data_folder();
        let group = free_group_addresses(shape.controls).context(StandinSnafu)?;
        let mut controls = Vec::new();
        for peer in &group {
            let settings = control_settings(shape, peer, &group, &data_folder);
            controls.push(start_control(&settings, &clock)?);
        }
        let control_addresses: Vec<SocketAddr> = group.iter().map(|peer| peer.address).collect();
        apply_config(&host, &control_addresses, &shape.text)?;
        let records = StartRecords::default();
        let mut workers = Vec::new();
        for instance in &shape.instances {
            workers.push(start_worker(
                &host,
                &clock,
                shape,
                instance,
                &control_addresses,
                &records,
            )?);
        }
        let mut entries = Vec::new();
        for number in 0..shape.entries {
            let settings = entry_settings(shape, number, &control_addresses);
            entries.push(start_entry(&settings, &clock)?);
        }
        let cluster = LocalCluster {
            host,
            controls,
            control_addresses,
            entries,
            workers,
            records,
            data_folder,
        };
        cluster.wait_ready(shape)?;
        Ok(cluster)
    }

    fn wait_ready(&self, shape: &ClusterShape) -> Result<(), ClusterError> {
        let expected_slots: u64 =
            shape.instances.iter().map(|i| u64::from(i.slots.min(i.connections))).sum();
        let caller = Caller::new();
        let waiting = async {
            for entry in &self.entries {
                while !is_ready(&caller, entry).await || entry.counters.slots() < expected_slots {
                    tokio::time::sleep(READY_POLL_INTERVAL).await;
                }
            }
        };
        let waited =
            self.host.block_on(async { tokio::time::timeout(ASSEMBLY_LIMIT, waiting).await });
        waited.map_err(|_elapsed| {
            let known: Vec<u64> = self.entries.iter().map(|entry| entry.counters.slots()).collect();
            let reason = format!(
                "entries know {known:?} of {expected_slots} slots after {ASSEMBLY_LIMIT:?}"
            );
            ClusterError::NotAssembled { reason }
        })
    }

    /// Number of messages of one kind, over all running roles.
    pub fn messages(&self, kind: MessageKind) -> u64 {
        let workers = self.workers.iter().filter_map(|worker| worker.agent.as_ref());
        let roles = self.controls.iter().chain(&self.entries).chain(workers);
        roles.map(|role| role.counters.messages(kind)).sum()
    }

    /// Number of wasted messages, over all running roles.
    pub fn wasted(&self) -> u64 {
        MessageKind::iter().filter(|kind| kind.is_wasted()).map(|kind| self.messages(kind)).sum()
    }

    /// The worker named `name`, or `None` if there is none.
    pub fn worker_mut(&mut self, name: &str) -> Option<&mut LocalWorker> {
        self.workers.iter_mut().find(|worker| worker.backend.worker() == name)
    }

    /// Stops every role, entries first, and deletes the data folder.
    pub fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
        for worker in self.workers {
            if let Some(agent) = worker.agent {
                agent.stop();
            }
        }
        for control in self.controls {
            control.stop();
        }
        // A folder that can't be deleted is left behind; no later run reads it.
        let _removed = std::fs::remove_dir_all(&self.data_folder);
    }
}

async fn is_ready(caller: &Caller, entry: &RunningRole) -> bool {
    let reply = caller.get(entry.address, "/readyz").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Picks free local addresses for a control group, whose members need each
/// other's address before they start.
fn free_group_addresses(size: usize) -> std::io::Result<Vec<ControlPeer>> {
    let mut listeners = Vec::new();
    let mut group = Vec::new();
    for number in 0..size {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        let name = format!("control-{number}").into();
        group.push(ControlPeer { name, address: listener.local_addr()? });
        listeners.push(listener);
    }
    Ok(group)
}

fn control_settings(
    shape: &ClusterShape,
    peer: &ControlPeer,
    group: &[ControlPeer],
    folder: &std::path::Path,
) -> ControlSettings {
    ControlSettings {
        name: peer.name.clone(),
        domain: format!("domain-{}", peer.name).into(),
        listen: peer.address,
        data_folder: folder.join(peer.name.as_str()).display().to_string(),
        group: group.to_vec(),
        seeds: Vec::new(),
        seed_port: None,
        tolerated_losses: None,
        bootstrap: true,
        operators: None,
        run_lease_ms: 1_000,
        remote_factor: 1.0,
        election_ms: shape.election_ms,
        lease_ms: shape.lease_ms,
        retention_ms: 600_000,
        snapshot_records: 50_000,
        precedence: None,
        guaranteed_share: model::DEFAULT_GUARANTEED_SHARE,
        rack_reserve: false,
        limits: ProcessLimits::default(),
        log: shape.log.clone(),
    }
}

fn entry_settings(shape: &ClusterShape, number: usize, controls: &[SocketAddr]) -> EntrySettings {
    EntrySettings {
        name: format!("entry-{number}").into(),
        domain: format!("domain-{number}").into(),
        listen: loopback(),
        controls: controls.to_vec(),
        call_limit: 8_192,
        queue_limit: shape.queue_limit,
        body_limit_bytes: 1024 * 1024,
        task_limit: 180,
        drain_limit_ms: 30_000,
        control_port: None,
        front: None,
        agent_limit: 256,
        seed: number as u64,
        limits: ProcessLimits::default(),
        log: shape.log.clone(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn apply_config(
    host: &StandinHost,
    controls: &[SocketAddr],
    text: &OperatorConfig,
) -> Result<(), ClusterError> {
    let command =
        Command::ApplyConfig { request: "first".into(), base: 0, text: Box::new(text.clone()) };
    let mut client = ControlClient::new(controls.to_vec());
    let result = host.block_on(client.propose(command)).context(ControlSnafu)?;
    match result {
        CommandResult::ConfigAccepted { .. } => Ok(()),
        other => Err(ClusterError::NotAssembled {
            reason: format!("control refused the text: {other:?}"),
        }),
    }
}

fn start_worker(
    host: &StandinHost,
    clock: &SharedClock,
    shape: &ClusterShape,
    instance: &InstanceLine,
    controls: &[SocketAddr],
    records: &StartRecords,
) -> Result<LocalWorker, ClusterError> {
    let peer_link = host.block_on(FaultyLink::open()).context(StandinSnafu)?;
    let mut control_links = Vec::new();
    for control in controls {
        let link = host.block_on(FaultyLink::open()).context(StandinSnafu)?;
        link.set_target(*control);
        control_links.push(link);
    }
    let settings = agent_settings(shape, instance, &peer_link, &control_links, controls);
    let agent = start_agent(&settings, clock)?;
    peer_link.set_target(agent.address);
    let backend_shape = BackendShape {
        worker: instance.worker.clone(),
        service: instance.service.clone(),
        slots: instance.slots,
        connections: instance.connections,
        speed: instance.speed,
    };
    let announce = agent.announce_address.unwrap_or(agent.address);
    let starting = BackendServer::start(backend_shape.clone(), announce, records.clone());
    let backend = host.block_on(starting).context(StandinSnafu)?;
    let agent = Some(agent);
    let retired = Vec::new();
    Ok(LocalWorker { agent, peer_link, control_links, backend, shape: backend_shape, retired })
}

fn agent_settings(
    shape: &ClusterShape,
    instance: &InstanceLine,
    peer_link: &FaultyLink,
    control_links: &[FaultyLink],
    controls: &[SocketAddr],
) -> AgentSettings {
    let link_addresses = control_links.iter().map(FaultyLink::address).collect();
    AgentSettings {
        worker: instance.worker.as_str().into(),
        domain: instance.domain.as_str().into(),
        rack: instance.rack.as_str().into(),
        listen: loopback(),
        advertise: shape.faulty_links.then(|| peer_link.address()),
        announce_listen: loopback(),
        controls: if shape.faulty_links { link_addresses } else { controls.to_vec() },
        control_port: None,
        server: None,
        cores: instance.cores,
        memory_mb: instance.memory_mb,
        accelerators: 0,
        queue_limit: 64,
        announce_ttl_ms: 3_000,
        retention_ms: 600_000,
        drain_limit_ms: 30_000,
        limits: ProcessLimits::default(),
        log: shape.log.clone(),
    }
}
