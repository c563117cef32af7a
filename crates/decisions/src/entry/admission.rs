//! Decides on the admission of a submission before anything of it is recorded
//! or sent.
//!
//! Invariant: a refusal here proves that nothing of the submission ran.

use std::time::{Duration, Instant};

use model::{AdmitRequest, ErrorKind, Failure, OperatorConfig, ServiceId, WorkerSize};

/// Load of a service at the arrival of a submission.
#[derive(Debug, Clone, Default)]
pub struct ServiceLoad {
    /// Slots of the service at live backend servers.
    pub slots: u32,
    /// Tasks of all services that wait at this entry.
    pub waiting: usize,
    /// Expected run time of the tasks of this service ahead of the submission,
    /// in microseconds.
    pub waiting_us: f64,
    /// Expected run time of the submission's longest task, in microseconds.
    pub longest_us: f64,
    /// Expected run time of all of the submission's tasks, in microseconds.
    pub total_us: f64,
    /// Sizes of the live workers that serve the service.
    pub sizes: Vec<WorkerSize>,
    /// Services with a live backend server.
    pub served: Vec<ServiceId>,
    /// Tasks of the team that wait or run at this entry.
    pub team_tasks: usize,
}

/// Outcome of the admission check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdmissionCheck {
    /// The submission is admitted.
    Admit,
    /// The queue is full: admit only if other tasks can be shed.
    AdmitIfShed,
    /// The submission is refused.
    Refuse(Failure),
}

/// Checks a submission against the configuration, the load and the quota of its
/// team; with more than `queue_limit` waiting tasks, admission depends on
/// shedding.
pub fn check_admission(
    now: Instant,
    config: &OperatorConfig,
    request: &AdmitRequest,
    load: &ServiceLoad,
    queue_limit: usize,
) -> AdmissionCheck {
    let refusals = [
        unknown_names(config, request),
        dependency_down(config, request, load),
        never_runnable(request, load),
        over_quota(config, request, load),
        no_backend(request, load),
        deadline_too_short(now, request, load),
    ];
    if let Some(failure) = refusals.into_iter().flatten().next() {
        return AdmissionCheck::Refuse(failure);
    }
    if load.waiting + request.tasks.len() > queue_limit {
        return AdmissionCheck::AdmitIfShed;
    }
    AdmissionCheck::Admit
}

fn unknown_names(config: &OperatorConfig, request: &AdmitRequest) -> Option<Failure> {
    if !config.services.contains_key(&request.service) {
        let detail = format!("no service named {} is declared", request.service);
        return Some(Failure::new(ErrorKind::UnknownService, detail));
    }
    if !config.teams.contains_key(&request.key.team) {
        let detail = format!("no team named {} is declared", request.key.team);
        return Some(Failure::new(ErrorKind::UnknownTeam, detail));
    }
    None
}

fn dependency_down(
    config: &OperatorConfig,
    request: &AdmitRequest,
    load: &ServiceLoad,
) -> Option<Failure> {
    let needed = config.dependency_closure(&request.service);
    let missing = needed.iter().find(|service| !load.served.contains(service))?;
    let detail =
        format!("{} depends on {missing}, which has no live backend server", request.service);
    Some(Failure::new(ErrorKind::DependencyDown, detail))
}

/// A task larger than every live worker can never start. Without a live worker,
/// nothing is known about sizes and the check passes.
fn never_runnable(request: &AdmitRequest, load: &ServiceLoad) -> Option<Failure> {
    if load.sizes.is_empty() {
        return None;
    }
    let fits = |wanted: &WorkerSize| load.sizes.iter().any(|size| size.fits(wanted));
    let position = request.tasks.iter().position(|task| !fits(&task.size))?;
    let detail = format!("task {position} is larger than every worker");
    Some(Failure::new(ErrorKind::NeverRunnable, detail))
}

fn over_quota(
    config: &OperatorConfig,
    request: &AdmitRequest,
    load: &ServiceLoad,
) -> Option<Failure> {
    let quota = config.teams.get(&request.key.team)?.task_quota as usize;
    if load.team_tasks + request.tasks.len() <= quota {
        return None;
    }
    let detail =
        format!("team {} has {} of {quota} tasks in use", request.key.team, load.team_tasks);
    Some(Failure::new(ErrorKind::QuotaExceeded, detail))
}

fn no_backend(request: &AdmitRequest, load: &ServiceLoad) -> Option<Failure> {
    if load.slots > 0 {
        return None;
    }
    let detail = format!("{} has no live backend server", request.service);
    Some(Failure::new(ErrorKind::NoBackendServer, detail))
}

/// Compares the deadline with the expected time to completion: the work ahead
/// and the submission's own work, each spread over all slots, where the latter
/// takes at least as long as its longest task.
fn deadline_too_short(now: Instant, request: &AdmitRequest, load: &ServiceLoad) -> Option<Failure> {
    let slots = f64::from(load.slots.max(1));
    let own_us = load.longest_us.max(load.total_us / slots);
    let expected = Duration::from_secs_f64((load.waiting_us / slots + own_us) / 1e6);
    let remaining = request.deadline.saturating_duration_since(now);
    if expected <= remaining {
        return None;
    }
    let detail = format!(
        "expected to take {} ms, with {} ms left",
        expected.as_millis(),
        remaining.as_millis()
    );
    Some(Failure::new(ErrorKind::DeadlineTooShort, detail))
}
