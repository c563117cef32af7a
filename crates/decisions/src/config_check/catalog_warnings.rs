//! Entries of a configuration of queues that can never match, and limits that contradict each
//! other.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use model::{CatalogDraft, ConfigVersion, QueueId, QueueRule, ServiceId, ServiceServers};

use super::queue_reach::{QueueReach, queue_reach};
use super::{CatalogPlace, LimitField, QueueField};

/// Number of attempts that operators set for "no limit".
const UNLIMITED_ATTEMPTS: u32 = u32::MAX;
/// Least time that one attempt takes: the order, the start and the report of its end. Without a
/// run time it is about the system's own share of a response.
const MIN_ATTEMPT: Duration = Duration::from_millis(1);

/// What a configuration of queues is held against.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedLimits {
    /// Bytes of requests that an entry holds at a time.
    pub held_bytes: u64,
    /// Largest head of a request where the configuration sets none, in bytes.
    pub default_header_bytes: u64,
    /// Highest limit on the head of a request that an entry applies, in bytes.
    pub highest_header_bytes: u64,
    /// Bytes of the shortest head of a call on a job, beside its host and path prefix.
    pub head_overhead_bytes: u64,
    /// Part of a call's time that is reserved for delivering the reply.
    pub reply_margin: Duration,
    /// Version of the configuration in force, if that is known and differs in content.
    pub version_in_force: Option<ConfigVersion>,
    /// The backend servers that control knows, by service; `None` if that is not known.
    pub servers: Option<Vec<ServiceServers>>,
}

/// What can never match, or contradicts something else, in a configuration of queues.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogWarning {
    /// Version 0 stands for "no configuration", so the configuration never gets in force.
    ZeroVersion,
    /// The version is not higher than that in force, so the configuration never gets in force.
    OldVersion {
        /// The version in force.
        in_force: ConfigVersion,
    },
    /// Not all requests that the host and path prefix name reach the queue.
    Reach {
        /// The queue.
        queue: QueueId,
        /// What reaches it.
        reach: QueueReach,
    },
    /// The head of every request for a job of the queue exceeds the limit.
    LongHead {
        /// The queue.
        queue: QueueId,
        /// Least number of bytes of such a head.
        bytes: u64,
        /// The limit, in bytes.
        limit: u64,
    },
    /// No queue uses a service.
    UnusedService {
        /// The service.
        service: ServiceId,
    },
    /// Control knows no backend server that could run a task of the queue.
    NoServer {
        /// The queue.
        queue: QueueId,
        /// Its service.
        service: ServiceId,
        /// Number of the service's backend servers, all of them without capacity.
        servers: usize,
    },
    /// A call ends before the constant part of a job's objective.
    TimeoutBelowObjective {
        /// The queue.
        queue: QueueId,
        /// Longest duration of a call, in milliseconds.
        timeout_ms: u64,
        /// Constant part of the objective, in milliseconds.
        base_objective_ms: u64,
    },
    /// The time reserved for the reply leaves a call no time for its job.
    NoTimeToRun {
        /// The queue.
        queue: QueueId,
        /// Longest duration of a call, in milliseconds.
        timeout_ms: u64,
        /// Part of it that is reserved for the reply.
        reply_margin: Duration,
    },
    /// Attempts can't all take place within a call, however short they are.
    ManyAttempts {
        /// The queue.
        queue: QueueId,
        /// Number of failed runs of a task after which its job fails.
        attempts: u32,
        /// Number of attempts that fit.
        fitting: u64,
    },
    /// No attempt is allowed, which counts as one.
    NoAttempts {
        /// The queue.
        queue: QueueId,
    },
    /// The objective of every job is shorter than its critical path, so that each is late.
    ShortObjective {
        /// The queue.
        queue: QueueId,
        /// Factor on the critical path.
        factor: f64,
    },
    /// Every request with a body is refused.
    NoBody,
    /// A body of the allowed size exceeds what an entry holds, and is always refused.
    BodyAboveBudget {
        /// Limit on a body, in bytes.
        limit: u64,
        /// Bytes that an entry holds at a time.
        held_bytes: u64,
    },
    /// The limit on the head of a request is above the highest one, which is used instead.
    HeaderAboveHighest {
        /// The limit, in bytes.
        limit: u64,
        /// The highest one, in bytes.
        highest: u64,
    },
}

/// All warnings about a configuration with their locations: version, queues, services and
/// limits, each list in document order.
pub fn catalog_warnings(
    draft: &CatalogDraft,
    limits: &CheckedLimits,
) -> Vec<(CatalogPlace, CatalogWarning)> {
    let mut warnings = Vec::new();
    let version = version_warning(draft.version, limits.version_in_force);
    warnings.extend(version.map(|warning| (CatalogPlace::Version, warning)));
    let servers = limits.servers.as_ref().map(|servers| {
        servers.iter().map(|known| (&known.service, known)).collect::<IndexMap<_, _>>()
    });
    for (position, ((queue, rule), reach)) in
        draft.queues.iter().zip(queue_reach(draft)).enumerate()
    {
        let mut add =
            |field, warning| warnings.push((CatalogPlace::Queue(position, field), warning));
        if reach != QueueReach::Full {
            let field = match reach {
                QueueReach::BadHost => QueueField::Host,
                _ => QueueField::PathPrefix,
            };
            add(field, CatalogWarning::Reach { queue: queue.clone(), reach });
        }
        if let Some(warning) = head_warning(draft, queue, rule, limits) {
            add(QueueField::PathPrefix, warning);
        }
        if let Some(servers) = &servers {
            let known = servers.get(&rule.service);
            if !known.is_some_and(|known| known.has_capacity()) {
                let (queue, service) = (queue.clone(), rule.service.clone());
                let servers = known.map_or(0, |known| known.servers);
                add(QueueField::Service, CatalogWarning::NoServer { queue, service, servers });
            }
        }
        for (field, warning) in time_warnings(queue, rule, limits) {
            add(field, warning);
        }
    }
    let used: IndexSet<&ServiceId> = draft.queues.iter().map(|(_, rule)| &rule.service).collect();
    for (position, (service, _)) in draft.services.iter().enumerate() {
        if !used.contains(service) {
            let warning = CatalogWarning::UnusedService { service: service.clone() };
            warnings.push((CatalogPlace::Service(position), warning));
        }
    }
    let of_limits = limit_warnings(draft, limits).into_iter();
    warnings.extend(of_limits.map(|(field, warning)| (CatalogPlace::Limit(field), warning)));
    warnings
}

fn version_warning(
    version: ConfigVersion,
    in_force: Option<ConfigVersion>,
) -> Option<CatalogWarning> {
    match in_force {
        _ if version == 0 => Some(CatalogWarning::ZeroVersion),
        Some(in_force) if version <= in_force => Some(CatalogWarning::OldVersion { in_force }),
        _ => None,
    }
}

fn head_warning(
    draft: &CatalogDraft,
    queue: &QueueId,
    rule: &QueueRule,
    limits: &CheckedLimits,
) -> Option<CatalogWarning> {
    let set = draft.request_limits.max_header_bytes.unwrap_or(limits.default_header_bytes);
    let limit = set.min(limits.highest_header_bytes);
    let bytes = (rule.host.len() + rule.path_prefix.len()) as u64 + limits.head_overhead_bytes;
    (bytes > limit).then(|| CatalogWarning::LongHead { queue: queue.clone(), bytes, limit })
}

/// Contradictions between the numbers of one queue.
fn time_warnings(
    queue: &QueueId,
    rule: &QueueRule,
    limits: &CheckedLimits,
) -> Vec<(QueueField, CatalogWarning)> {
    let mut warnings = Vec::new();
    let QueueRule { timeout_ms, base_objective_ms, max_attempts, .. } = *rule;
    let reply_margin = limits.reply_margin;
    let run_time = Duration::from_millis(timeout_ms).saturating_sub(reply_margin);
    let fitting = (run_time.as_nanos() / MIN_ATTEMPT.as_nanos()) as u64;
    let queue = || queue.clone();
    // A timeout of 0 is a fault.
    if timeout_ms > 0 && run_time.is_zero() {
        let warning = CatalogWarning::NoTimeToRun { queue: queue(), timeout_ms, reply_margin };
        warnings.push((QueueField::Timeout, warning));
    }
    if timeout_ms > 0 && timeout_ms < base_objective_ms {
        let queue = queue();
        let warning =
            CatalogWarning::TimeoutBelowObjective { queue, timeout_ms, base_objective_ms };
        warnings.push((QueueField::Timeout, warning));
    }
    if max_attempts == 0 {
        let warning = CatalogWarning::NoAttempts { queue: queue() };
        warnings.push((QueueField::MaxAttempts, warning));
    } else if max_attempts != UNLIMITED_ATTEMPTS
        && !run_time.is_zero()
        && u64::from(max_attempts) > fitting
    {
        let attempts = max_attempts;
        let warning = CatalogWarning::ManyAttempts { queue: queue(), attempts, fitting };
        warnings.push((QueueField::MaxAttempts, warning));
    }
    let factor = rule.critical_path_factor;
    if rule.has_valid_factor() && factor < 1.0 && base_objective_ms == 0 {
        let warning = CatalogWarning::ShortObjective { queue: queue(), factor };
        warnings.push((QueueField::CriticalPathFactor, warning));
    }
    warnings
}

fn limit_warnings(
    draft: &CatalogDraft,
    limits: &CheckedLimits,
) -> Vec<(LimitField, CatalogWarning)> {
    let mut warnings = Vec::new();
    let (limit, held_bytes) = (draft.body_limit_bytes, limits.held_bytes);
    if limit == 0 {
        warnings.push((LimitField::Body, CatalogWarning::NoBody));
    } else if limit > held_bytes {
        warnings.push((LimitField::Body, CatalogWarning::BodyAboveBudget { limit, held_bytes }));
    }
    let highest = limits.highest_header_bytes;
    if let Some(limit) = draft.request_limits.max_header_bytes.filter(|limit| *limit > highest) {
        let warning = CatalogWarning::HeaderAboveHighest { limit, highest };
        warnings.push((LimitField::Header, warning));
    }
    warnings
}
