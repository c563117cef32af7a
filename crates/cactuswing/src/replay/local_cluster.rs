//! Owns a whole system in one process: control hosts, entries, agents and
//! stand-in backend servers, joined over loopback.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kernel::{SharedClock, SystemClock};
use model::{
    AgentSettings, Command, CommandResult, ControlPeer, ControlSettings, EntrySettings,
    LogSettings, MessageKind, OperatorText,
};
use snafu::{ResultExt, Snafu};
use standin::{
    BackendServer, BackendShape, Caller, FaultyLink, InstanceLine, StandinHost, StartRecords,
};
use strum::IntoEnumIterator;

use crate::control_client::{ControlClient, ControlFailure};
use crate::roles::{RoleError, RunningRole, start_agent, start_control, start_entry};

/// How long the parts may take to find each other.
const ASSEMBLY_LIMIT: Duration = Duration::from_secs(20);
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Why a system could not be put together.
#[derive(Debug, Snafu)]
pub enum ClusterError {
    /// A role did not start.
    #[snafu(display("{source}"), context(false))]
    Role {
        /// Why.
        source: RoleError,
    },
    /// A stand-in did not start.
    #[snafu(display("a stand-in did not start"))]
    Standin {
        /// Why.
        source: std::io::Error,
    },
    /// Control did not take the text.
    #[snafu(display("control did not take the text: {source}"))]
    Control {
        /// Why.
        source: ControlFailure,
    },
    /// The parts did not find each other in time.
    #[snafu(display("the parts did not find each other in time: {reason}"))]
    NotAssembled {
        /// What is missing.
        reason: String,
    },
}

/// What a system is made of.
#[derive(Debug, Clone)]
pub struct ClusterShape {
    /// Control hosts.
    pub controls: usize,
    /// Entries.
    pub entries: usize,
    /// Workers with their backend servers.
    pub instances: Vec<InstanceLine>,
    /// The operators' text.
    pub text: OperatorText,
    /// Logs.
    pub log: LogSettings,
    /// Least election timeout and lease, in milliseconds.
    pub election_ms: u64,
    /// Length of leases, in milliseconds.
    pub lease_ms: u64,
    /// Tasks that may wait at one entry.
    pub queue_limit: usize,
    /// Whether agents are reached through links that can be made to fail.
    pub faulty_links: bool,
}

impl ClusterShape {
    /// One control host, one entry and these workers.
    pub fn small(instances: Vec<InstanceLine>, text: OperatorText) -> ClusterShape {
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

/// A worker of the system, with the links through which it is reached.
pub struct LocalWorker {
    /// The agent; `None` once it was stopped.
    pub agent: Option<RunningRole>,
    /// Between entries and the agent.
    pub peer_link: FaultyLink,
    /// Between the agent and control.
    pub control_links: Vec<FaultyLink>,
    /// The backend server.
    pub backend: BackendServer,
    /// What the backend server is like.
    pub shape: BackendShape,
    /// Earlier backend servers, which finish what they run.
    pub retired: Vec<BackendServer>,
}

/// A whole system.
pub struct LocalCluster {
    /// Runtime of the stand-ins.
    pub host: StandinHost,
    /// Control hosts.
    pub controls: Vec<RunningRole>,
    /// Addresses of the control hosts.
    pub control_addresses: Vec<SocketAddr>,
    /// Entries.
    pub entries: Vec<RunningRole>,
    /// Workers.
    pub workers: Vec<LocalWorker>,
    /// Starts that the backend servers saw.
    pub records: StartRecords,
    data_folder: PathBuf,
}

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

fn new_folder() -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("cactuswing-{}-{number}", std::process::id()))
}

impl LocalCluster {
    /// Puts the system together and waits until every entry knows every slot.
    ///
    /// # Errors
    /// When a part does not start, or the parts do not find each other.
    pub fn start(shape: &ClusterShape) -> Result<LocalCluster, ClusterError> {
        let clock: SharedClock = Arc::new(SystemClock);
        let host = StandinHost::start().context(StandinSnafu)?;
        let data_folder = new_folder();
        let group = free_group(shape.controls).context(StandinSnafu)?;
        let mut controls = Vec::new();
        for peer in &group {
            let settings = control_settings(shape, peer, &group, &data_folder);
            controls.push(start_control(&settings, &clock)?);
        }
        let control_addresses: Vec<SocketAddr> = group.iter().map(|peer| peer.address).collect();
        apply_text(&host, &control_addresses, &shape.text)?;
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
        cluster.wait_assembled(shape)?;
        Ok(cluster)
    }

    fn wait_assembled(&self, shape: &ClusterShape) -> Result<(), ClusterError> {
        let wanted: u64 =
            shape.instances.iter().map(|i| u64::from(i.slots.min(i.connections))).sum();
        let caller = Caller::new();
        let waiting = async {
            for entry in &self.entries {
                while !is_ready(&caller, entry).await || entry.counters.slots() < wanted {
                    tokio::time::sleep(LOOK_PAUSE).await;
                }
            }
        };
        let waited =
            self.host.block_on(async { tokio::time::timeout(ASSEMBLY_LIMIT, waiting).await });
        waited.map_err(|_late| {
            let known: Vec<u64> = self.entries.iter().map(|entry| entry.counters.slots()).collect();
            let reason = format!("entries know {known:?} of {wanted} slots");
            ClusterError::NotAssembled { reason }
        })
    }

    /// Messages of one kind, over all roles.
    pub fn messages(&self, kind: MessageKind) -> u64 {
        let workers = self.workers.iter().filter_map(|worker| worker.agent.as_ref());
        let roles = self.controls.iter().chain(&self.entries).chain(workers);
        roles.map(|role| role.counters.messages(kind)).sum()
    }

    /// Wasted messages, over all roles.
    pub fn wasted(&self) -> u64 {
        MessageKind::iter().filter(|kind| kind.is_wasted()).map(|kind| self.messages(kind)).sum()
    }

    /// The worker of this name.
    pub fn worker_mut(&mut self, name: &str) -> Option<&mut LocalWorker> {
        self.workers.iter_mut().find(|worker| worker.backend.worker() == name)
    }

    /// Stops everything, callers' side first.
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
        // What is left of a run is of no use.
        let _gone = std::fs::remove_dir_all(&self.data_folder);
    }
}

async fn is_ready(caller: &Caller, entry: &RunningRole) -> bool {
    let reply = caller.get(entry.address, "/readyz").await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Addresses that are free now, for a group whose members must know each other
/// before they start.
fn free_group(size: usize) -> std::io::Result<Vec<ControlPeer>> {
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
        found: true,
        operators: None,
        run_lease_ms: 1_000,
        remote_factor: 1.0,
        election_ms: shape.election_ms,
        lease_ms: shape.lease_ms,
        retention_ms: 600_000,
        snapshot_records: 50_000,
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
        log: shape.log.clone(),
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn apply_text(
    host: &StandinHost,
    controls: &[SocketAddr],
    text: &OperatorText,
) -> Result<(), ClusterError> {
    let command =
        Command::ApplyText { request: "first".into(), base: 0, text: Box::new(text.clone()) };
    let mut client = ControlClient::new(controls.to_vec());
    let result = host.block_on(client.propose(command)).context(ControlSnafu)?;
    match result {
        CommandResult::TextAccepted { .. } => Ok(()),
        other => Err(ClusterError::NotAssembled { reason: format!("{other:?}") }),
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
        link.lead_to(*control);
        control_links.push(link);
    }
    let settings = agent_settings(shape, instance, &peer_link, &control_links, controls);
    let agent = start_agent(&settings, clock)?;
    peer_link.lead_to(agent.address);
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
    let linked = control_links.iter().map(FaultyLink::address).collect();
    AgentSettings {
        worker: instance.worker.as_str().into(),
        domain: instance.domain.as_str().into(),
        rack: instance.rack.as_str().into(),
        listen: loopback(),
        advertise: shape.faulty_links.then(|| peer_link.address()),
        announce_listen: loopback(),
        controls: if shape.faulty_links { linked } else { controls.to_vec() },
        control_port: None,
        server: None,
        cores: instance.cores,
        memory_mb: instance.memory_mb,
        accelerators: 0,
        queue_limit: 64,
        announce_ttl_ms: 3_000,
        retention_ms: 600_000,
        drain_limit_ms: 30_000,
        log: shape.log.clone(),
    }
}
