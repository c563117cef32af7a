//! The duty that keeps an entry connected to its agents.
//!
//! Invariants:
//! - each agent has one link, with a bounded queue of its own;
//! - what a link can't take is reported at once as never sent.

use indexmap::IndexMap;
use kernel::{Registry, RingReceiver, RingSender};
use model::{
    DispatchMessage, LinkEvent, LinkMessage, MemberRecord, NodeId, ProcessCounters, ServiceName,
    WorkerId,
};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::agent_link::{LinkJob, LinkPlan, LinkTask};
use crate::edge_runtime::block_on;

/// Jobs that may wait in one link's queue.
const LINK_QUEUE: usize = 4_096;

struct OpenLink {
    member: MemberRecord,
    jobs: mpsc::Sender<LinkJob>,
    plan: watch::Sender<LinkPlan>,
    task: JoinHandle<()>,
}

/// What the links are given.
#[derive(Clone)]
pub struct AgentLinks {
    /// The entry's name.
    pub entry: NodeId,
    /// Counters of the process.
    pub counters: ProcessCounters,
    /// Agents connected to at most.
    pub agent_limit: usize,
}

struct LinkDesk {
    links: AgentLinks,
    dispatch: RingSender<DispatchMessage>,
    open: IndexMap<WorkerId, OpenLink>,
}

/// Runs the duty until its ring is closed.
///
/// # Panics
/// When dispatch is not registered.
pub fn run(ring: &RingReceiver<LinkMessage>, registry: &Registry<ServiceName>, links: AgentLinks) {
    let dispatch = registry.find(ServiceName::TaskDispatch).expect("dispatch is registered");
    let mut desk = LinkDesk { links, dispatch, open: IndexMap::new() };
    block_on(async move {
        while let Some(message) = ring.next().await {
            desk.on_message(message);
        }
    });
}

impl LinkDesk {
    fn on_message(&mut self, message: LinkMessage) {
        match message {
            LinkMessage::Agents { agents, interval } => self.set_agents(&agents, interval),
            LinkMessage::Start { worker, order, reply } => {
                self.hand_over(&worker, LinkJob::Start { order, reply });
            }
            LinkMessage::Attach { worker, question, reply } => {
                self.hand_over(&worker, LinkJob::Attach { question, reply });
            }
            LinkMessage::Recall { worker, order, reply } => {
                self.hand_over(&worker, LinkJob::Recall { order, reply });
            }
        }
    }

    /// Opens links to new agents and closes those to agents that are gone or
    /// moved.
    fn set_agents(&mut self, agents: &[MemberRecord], interval: std::time::Duration) {
        let wanted: IndexMap<&WorkerId, &MemberRecord> =
            agents.iter().take(self.links.agent_limit).map(|agent| (&agent.node, agent)).collect();
        self.open.retain(|worker, link| {
            let keep = wanted.get(worker).is_some_and(|agent| agent.address == link.member.address);
            if !keep {
                link.task.abort();
            }
            keep
        });
        let plan = LinkPlan { interval };
        for (worker, agent) in wanted {
            match self.open.get(worker) {
                // The link's task holds the other end for as long as it is open.
                Some(link) => drop(link.plan.send_replace(plan)),
                None => {
                    let link = self.open_link(agent, plan);
                    self.open.insert(worker.clone(), link);
                }
            }
        }
    }

    fn open_link(&self, agent: &MemberRecord, plan: LinkPlan) -> OpenLink {
        let (jobs, queue) = mpsc::channel(LINK_QUEUE);
        let (plan, plans) = watch::channel(plan);
        let task = LinkTask {
            entry: self.links.entry.clone(),
            worker: agent.node.clone(),
            address: agent.address,
            counters: self.links.counters.clone(),
            dispatch: self.dispatch.clone(),
            queue,
            plans,
        };
        let task = tokio::task::spawn_local(task.run());
        OpenLink { member: agent.clone(), jobs, plan, task }
    }

    fn hand_over(&self, worker: &WorkerId, job: LinkJob) {
        let refused = match self.open.get(worker) {
            Some(link) => match link.jobs.try_send(job) {
                Ok(()) => return,
                Err(mpsc::error::TrySendError::Full(job))
                | Err(mpsc::error::TrySendError::Closed(job)) => job,
            },
            None => job,
        };
        refused.give_up(worker, false);
    }
}

/// Reports an event of a link through reserved room.
pub(crate) fn report(
    reply: kernel::Reservation<DispatchMessage>,
    worker: &WorkerId,
    event: LinkEvent,
) {
    reply.push(DispatchMessage::Link { worker: worker.clone(), event });
}
