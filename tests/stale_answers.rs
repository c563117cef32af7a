//! Answers to an earlier attempt that arrive after the task was sent again. If a second
//! copy of the first attempt's refusal were taken for the answer to the second attempt,
//! the task would be sent a third time while the second attempt may be running.

use std::sync::Arc;
use std::time::{Duration, Instant};

use decisions::entry::{DispatchLimits, DispatchStep, Dispatcher};
use model::{
    AdmitRequest, AdmitTask, AgentView, ConfigInForce, JobKey, LeaseState, LinkEvent, MemberRecord,
    MessageKind, NodeRole, NotStartedReason, OwnerRef, Payload, ReleaseOrder, ServiceSlots,
    StartOrder, Takeover, TaskReport, TaskStatus, WorkerSize,
};

use crate::support::small_config;

const TASK_SIZE: WorkerSize = WorkerSize { cores: 1, memory_mb: 0, accelerators: 0 };
/// Longer than any backoff before a task is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchLimits { queue_limit: 100, seed: 1 });
    dispatcher.on_config(Arc::new(ConfigInForce { version: 1, text: small_config() }));
    dispatcher.on_lease(now, LeaseState::ValidUntil(now + Duration::from_secs(600)));
    let address = ([127, 0, 0, 1], 1).into();
    let (node, domain) = ("worker-1".into(), "d".into());
    let member = MemberRecord { node, role: NodeRole::Agent, incarnation: 1, address, domain };
    dispatcher.on_members(now, &[member], 1);
    let service = ServiceSlots { service: "stock".into(), slots: 4, running: 0, queued: 0 };
    let view = AgentView {
        worker: "worker-1".into(),
        incarnation: 1,
        version: 1,
        domain: "d".into(),
        rack: "r".into(),
        draining: false,
        size: WorkerSize { cores: 16, memory_mb: 1_000, accelerators: 0 },
        services: vec![service],
    };
    dispatcher.on_link(now, &"worker-1".into(), LinkEvent::View { view });
    dispatcher
}

fn admit(dispatcher: &mut Dispatcher, now: Instant) -> Vec<DispatchStep> {
    let task = AdmitTask { declared: None, size: TASK_SIZE, payload: Payload::null() };
    let request = AdmitRequest {
        key: JobKey { team: "north".into(), submission: "s".into() },
        service: "stock".into(),
        tasks: vec![task],
        deadline: now + Duration::from_secs(60),
        idempotent: true,
    };
    let owner = OwnerRef { entry: "e".into(), incarnation: 1 };
    let release = ReleaseOrder { epoch: 0, owner, takeover: Takeover::Fresh };
    dispatcher.on_admit(now, request, Some(release))
}

fn sent_order(steps: &[DispatchStep]) -> Option<StartOrder> {
    steps.iter().find_map(|step| match step {
        DispatchStep::Start { order, .. } => Some((**order).clone()),
        _ => None,
    })
}

fn report(order: &StartOrder, status: TaskStatus) -> LinkEvent {
    let (key, attempt) = (order.key.clone(), order.attempt);
    let report = TaskReport { key, attempt, incarnation: 1, status, running: 0, queued: 0 };
    LinkEvent::Report { report }
}

#[test]
fn stale_answer_ignored() {
    let mut now = Instant::now();
    let worker = "worker-1".into();
    let mut dispatcher = dispatcher(now);
    let first = sent_order(&admit(&mut dispatcher, now)).expect("a worker has a free slot");
    let status = TaskStatus::NotStarted { reason: NotStartedReason::QueueFull };
    let mut steps = dispatcher.on_link(now, &worker, report(&first, status.clone()));
    for _ in 0..10 {
        now += RETRY_INTERVAL;
        steps.extend(dispatcher.on_tick(now));
    }
    let second = sent_order(&steps).expect("the task is sent again");
    assert_ne!(first.attempt, second.attempt);
    // A duplicate of the first answer, while the second attempt may be running.
    let steps = dispatcher.on_link(now, &worker, report(&first, status));
    assert_eq!(steps, vec![DispatchStep::Count(MessageKind::LateAnswer)]);
}
