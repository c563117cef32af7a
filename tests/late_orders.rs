//! Orders that reach an agent after the grant that they carry has expired, as when the agent
//! was paused: no run may start on it. Its scheduler may have placed the task elsewhere.

use std::time::{Duration, Instant};

use model::{AgentOrder, AgentOrders, ResourceAmount, RunUpdate, StartRefusal};

use crate::agent_fixture::{AgentFixture, GRANT, entry, run};

/// Sends the agent an order that acknowledges a message sent at this time.
pub(crate) fn order(agent: &mut AgentFixture, acked_at: Instant, orders: Vec<AgentOrder>) {
    let orders = AgentOrders {
        term: 0,
        received: 1,
        grant_ms: GRANT.as_millis() as u64,
        usage_interval_ms: 50,
        ack: None,
        orders,
        claims: None,
        entries: None,
        controls: None,
        evacuated: None,
        watched_kinds: None,
    };
    let steps = agent.table.on_orders(agent.now, &entry(), 1, acked_at, orders);
    agent.apply_steps(steps);
}

fn start() -> AgentOrder {
    let size = ResourceAmount { cpu_milli: 500, memory_mb: 1, accelerators: 0 };
    AgentOrder::Start {
        life: "i-1/7".into(),
        runs: vec![run()],
        spec: "work".to_owned(),
        size,
        estimate_ms: None,
        queue: None,
    }
}

/// An agent that was paused for longer than its grant, and an order from before.
fn paused_agent() -> AgentFixture {
    let mut agent = AgentFixture::new();
    let acked_at = agent.now;
    agent.now += 2 * GRANT;
    order(&mut agent, acked_at, vec![start()]);
    agent
}

// Guards against a run that starts on an expired grant beside one that replaces it.
#[test]
fn expired_grant_starts_nothing() {
    let mut agent = paused_agent();
    assert_eq!(agent.take_start(), None);
    agent.advance(Duration::from_millis(60));
    let refused = RunUpdate::Refused { run: run(), refusal: StartRefusal::Room };
    assert!(agent.updates.contains(&refused), "{:?}", agent.updates);
    let now = agent.now;
    order(&mut agent, now, Vec::new());
    assert_eq!(agent.take_start(), None, "a refused run must never start");
}

#[test]
fn renewed_grant_starts() {
    let mut agent = paused_agent();
    agent.advance(Duration::from_millis(10));
    let now = agent.now;
    order(&mut agent, now, Vec::new());
    assert_eq!(agent.take_start(), Some(run()));
}
