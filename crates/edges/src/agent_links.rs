//! The duty that keeps one link open from an entry to each of its agents.
//!
//! Invariants:
//! - each agent has one link, with a bounded queue of its own;
//! - a request that a link's queue can't accept is reported at once as never
//!   sent.

use indexmap::IndexMap;
use kernel::{Registry, RingReceiver, RingSender};
use model::{
    DispatchMessage, LinkEvent, LinkMessage, MemberRecord, NodeId, ProcessCounters, ServiceName,
    WorkerId,
};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::agent_link::{LinkRequest, LinkSettings, LinkTask};
use crate::edge_runtime::{block_on, spawn_lasting};

/// Requests that may wait in one link's queue.
const LINK_QUEUE_CAPACITY: usize = 4_096;

/// A link to one agent, with the task that runs it.
struct OpenLink {
    member: MemberRecord,
    requests: mpsc::Sender<LinkRequest>,
    settings: watch::Sender<LinkSettings>,
    task: JoinHandle<()>,
}

/// Configuration of the links.
#[derive(Clone)]
pub struct AgentLinks {
    /// The entry's name.
    pub entry: NodeId,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Maximum number of agents to connect to.
    pub agent_limit: usize,
}

/// The open links by worker.
struct LinkTable {
    config: AgentLinks,
    dispatch: RingSender<DispatchMessage>,
    open: IndexMap<WorkerId, OpenLink>,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When dispatch is not registered.
pub fn run(ring: &RingReceiver<LinkMessage>, registry: &Registry<ServiceName>, config: AgentLinks) {
    let dispatch = registry.find(ServiceName::TaskDispatch).expect("dispatch is registered");
    let mut table = LinkTable { config, dispatch, open: IndexMap::new() };
    block_on(async move {
        while let Some(message) = ring.next().await {
            table.on_message(message);
        }
    });
}

impl LinkTable {
    fn on_message(&mut self, message: LinkMessage) {
        match message {
            LinkMessage::Agents { agents, interval } => self.set_agents(&agents, interval),
            LinkMessage::Start { worker, order, reply } => {
                self.enqueue(&worker, LinkRequest::Start { order, reply });
            }
            LinkMessage::Attach { worker, query, reply } => {
                self.enqueue(&worker, LinkRequest::Attach { query, reply });
            }
            LinkMessage::Recall { worker, order, reply } => {
                self.enqueue(&worker, LinkRequest::Recall { order, reply });
            }
        }
    }

    /// Opens links to new agents, closes links to agents that left or changed
    /// their address, and updates the settings of the others.
    fn set_agents(&mut self, agents: &[MemberRecord], probe_interval: std::time::Duration) {
        let wanted: IndexMap<&WorkerId, &MemberRecord> =
            agents.iter().take(self.config.agent_limit).map(|agent| (&agent.node, agent)).collect();
        self.open.retain(|worker, link| {
            let keep = wanted.get(worker).is_some_and(|agent| agent.address == link.member.address);
            if !keep {
                link.task.abort();
            }
            keep
        });
        let settings = LinkSettings { probe_interval };
        for (worker, agent) in wanted {
            match self.open.get(worker) {
                // The link's task owns the receiver for as long as the link is open.
                Some(link) => drop(link.settings.send_replace(settings)),
                None => {
                    let link = self.open_link(agent, settings);
                    self.open.insert(worker.clone(), link);
                }
            }
        }
    }

    fn open_link(&self, agent: &MemberRecord, settings: LinkSettings) -> OpenLink {
        let (requests, waiting) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let (settings, updates) = watch::channel(settings);
        let task = LinkTask {
            entry: self.config.entry.clone(),
            worker: agent.node.clone(),
            address: agent.address,
            counters: self.config.counters.clone(),
            dispatch: self.dispatch.clone(),
            requests: waiting,
            settings: updates,
        };
        let task = spawn_lasting(task.run());
        OpenLink { member: agent.clone(), requests, settings, task }
    }

    fn enqueue(&self, worker: &WorkerId, request: LinkRequest) {
        let rejected = match self.open.get(worker) {
            Some(link) => match link.requests.try_send(request) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(request))
                | Err(mpsc::error::TrySendError::Closed(request)) => request,
            },
            None => request,
        };
        rejected.report_lost(worker, false);
    }
}

/// Sends an event of a link through its reserved reply slot.
pub(crate) fn send_event(
    reply: kernel::Reservation<DispatchMessage>,
    worker: &WorkerId,
    event: LinkEvent,
) {
    reply.push(DispatchMessage::Link { worker: worker.clone(), event });
}
