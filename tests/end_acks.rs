//! Acknowledgements of ends. Guards against an end of a stored job that the backend server
//! may forget although control has not recorded it.

use std::time::Duration;

use model::{
    AgentOrder, AgentOrders, EndAck, EndKind, ListedEnd, ResourceAmount, SchedulerKey,
    ServerAnswer, ServerRequest,
};

use crate::agent_fixture::{AgentFixture, entry, is_renewal, is_start, run};

pub(crate) const CONTROL_SESSION: u64 = 9;
/// How long the agent keeps control's runs active without contact.
pub(crate) const CONTROL_GRANT: Duration = Duration::from_secs(4);

/// Control's orders with an acknowledgement of the first end of the agent's backend server.
pub(crate) fn orders(upto: Option<u64>, orders: Vec<AgentOrder>) -> AgentOrders {
    AgentOrders {
        term: 1,
        received: 1,
        grant_ms: CONTROL_GRANT.as_millis() as u64,
        usage_interval_ms: 50,
        ack: upto.map(|upto| EndAck { life: "i-1/7".into(), upto }),
        orders,
        claims: None,
        entries: None,
        controls: None,
        evacuated: None,
        watched_kinds: None,
    }
}

/// Sends orders of a scheduler; returns what the next renewal acknowledges.
fn acked_after(agent: &mut AgentFixture, scheduler: &SchedulerKey, sent: AgentOrders) -> u64 {
    let session = if *scheduler == SchedulerKey::Control { CONTROL_SESSION } else { 1 };
    let now = agent.now;
    let steps = agent.table.on_orders(now, scheduler, session, now, sent);
    agent.apply_steps(steps);
    agent.answer_renewal();
    agent.advance(Duration::from_millis(20));
    let renewal = agent.take_call(is_renewal).expect("a renewal is due");
    agent.answer(&renewal, ServerAnswer::Lists { running: Vec::new(), ended: Vec::new() });
    agent.advance(Duration::from_millis(20));
    match renewal.request {
        ServerRequest::RenewLease { acked, .. } => acked,
        request => panic!("{request:?} is no renewal"),
    }
}

// An entry knows nothing of the ends that control has to record.
#[test]
fn entry_acks_nothing() {
    let mut agent = AgentFixture::new();
    let steps = agent.table.on_opened(agent.now, SchedulerKey::Control, CONTROL_SESSION);
    agent.apply_steps(steps);
    let size = ResourceAmount { cpu_milli: 100, memory_mb: 1, accelerators: 0 };
    let (life, spec) = ("i-1/7".into(), "work".to_owned());
    let start =
        AgentOrder::Start { life, runs: vec![run()], spec, size, estimate_ms: None, queue: None };
    acked_after(&mut agent, &SchedulerKey::Control, orders(None, vec![start]));
    agent.take_call(is_start).expect("the run is started");
    agent.list_end(ListedEnd { number: 1, run: run(), kind: EndKind::Done });
    assert_eq!(acked_after(&mut agent, &entry(), orders(Some(1), Vec::new())), 0);
    let acked = acked_after(&mut agent, &SchedulerKey::Control, orders(Some(1), Vec::new()));
    assert_eq!(acked, 1);
}
