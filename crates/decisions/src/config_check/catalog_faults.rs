//! The rules that a configuration of queues has to meet.

use compact_str::CompactString;
use indexmap::{IndexMap, IndexSet};
use model::{CatalogDraft, QueueId, QueueRule, ServiceId};

use super::{CatalogPlace, QueueField};

/// Why a configuration of queues is invalid.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogFault {
    /// Two queues, or two services, have the same name.
    DuplicateName {
        /// The repeated name.
        name: CompactString,
    },
    /// A queue refers to a service that is not defined.
    UnknownService {
        /// The queue with the reference.
        queue: QueueId,
        /// The service that is not defined.
        service: ServiceId,
    },
    /// The timeout of a queue is 0, which leaves its calls no time.
    ZeroTimeout {
        /// The queue without a timeout.
        queue: QueueId,
    },
    /// Two queues take the same requests: their path prefixes are equal, and their host
    /// names apart from the letter case.
    DuplicateRoute {
        /// The later of the two queues.
        queue: QueueId,
        /// The earlier of the two queues.
        other: QueueId,
    },
    /// The factor on the critical path is out of its range.
    BadFactor {
        /// The queue with the factor.
        queue: QueueId,
        /// The factor.
        value: f64,
    },
    /// The constant part of the objective is too large.
    LongObjective {
        /// The queue with the constant part.
        queue: QueueId,
        /// The constant part, in milliseconds.
        value: u64,
    },
}

/// All faults of a configuration with their locations: those of services, then those of
/// queues, each list in document order. Control reports the first one.
pub fn catalog_faults(draft: &CatalogDraft) -> Vec<(CatalogPlace, CatalogFault)> {
    let mut faults = Vec::new();
    let mut services: IndexSet<&ServiceId> = IndexSet::new();
    for (position, (name, _)) in draft.services.iter().enumerate() {
        if !services.insert(name) {
            let fault = CatalogFault::DuplicateName { name: name.clone() };
            faults.push((CatalogPlace::Service(position), fault));
        }
    }
    let mut names: IndexSet<&QueueId> = IndexSet::new();
    let mut routes: IndexMap<(CompactString, &str), &QueueId> = IndexMap::new();
    for (position, (queue, rule)) in draft.queues.iter().enumerate() {
        let mut add = |field, fault| faults.push((CatalogPlace::Queue(position, field), fault));
        if !services.contains(&rule.service) {
            let (queue, service) = (queue.clone(), rule.service.clone());
            add(QueueField::Service, CatalogFault::UnknownService { queue, service });
        }
        if rule.timeout_ms == 0 {
            add(QueueField::Timeout, CatalogFault::ZeroTimeout { queue: queue.clone() });
        }
        if !names.insert(queue) {
            add(QueueField::Name, CatalogFault::DuplicateName { name: queue.clone() });
        }
        let route = (rule.host.to_ascii_lowercase(), rule.path_prefix.as_str());
        if let Some(other) = routes.get(&route) {
            let (queue, other) = (queue.clone(), (*other).clone());
            add(QueueField::PathPrefix, CatalogFault::DuplicateRoute { queue, other });
        } else {
            routes.insert(route, queue);
        }
        for (field, fault) in objective_faults(queue, rule) {
            add(field, fault);
        }
    }
    faults
}

/// Checks the numbers from which the objectives of the queue's jobs are computed.
fn objective_faults(
    queue: &QueueId,
    rule: &QueueRule,
) -> impl Iterator<Item = (QueueField, CatalogFault)> {
    let factor = (!rule.has_valid_factor()).then(|| {
        let (queue, value) = (queue.clone(), rule.critical_path_factor);
        (QueueField::CriticalPathFactor, CatalogFault::BadFactor { queue, value })
    });
    let base = (!rule.has_valid_base()).then(|| {
        let (queue, value) = (queue.clone(), rule.base_objective_ms);
        (QueueField::BaseObjective, CatalogFault::LongObjective { queue, value })
    });
    factor.into_iter().chain(base)
}
