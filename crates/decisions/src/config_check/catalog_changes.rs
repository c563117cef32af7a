//! The differences between two configurations of queues.

use std::fmt::Display;

use compact_str::{CompactString, ToCompactString};
use model::{ConfigVersion, QueueCatalog, QueueId, QueueRule, RequestLimits, ServiceId};

use super::{CatalogPlace, LimitField, QueueField};

/// One difference between two configurations; places are those of the later one.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogChange {
    /// The version.
    Version {
        /// The earlier version.
        before: ConfigVersion,
        /// The later version.
        after: ConfigVersion,
    },
    /// A queue is new.
    QueueAdded {
        /// Its position.
        position: usize,
        /// The queue.
        queue: QueueId,
    },
    /// A queue is gone.
    QueueRemoved {
        /// The queue.
        queue: QueueId,
    },
    /// A service is new.
    ServiceAdded {
        /// Its position.
        position: usize,
        /// The service.
        service: ServiceId,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service.
        service: ServiceId,
    },
    /// Whether the backend servers of a service enforce their capacity.
    Enforcement {
        /// The service's position.
        position: usize,
        /// The later value.
        enforces_capacity: bool,
    },
    /// The value of a field.
    Value {
        /// The field.
        place: CatalogPlace,
        /// The earlier value; `None` if it was not set.
        before: Option<CompactString>,
        /// The later value; `None` if it is not set.
        after: Option<CompactString>,
    },
    /// Only what no decision uses: order, spelling or unused fields of the documents.
    UnusedText,
}

/// All differences between two configurations: version, queues, services, limits. None if
/// their documents are equal.
pub fn catalog_changes(before: &QueueCatalog, after: &QueueCatalog) -> Vec<CatalogChange> {
    let mut changes = Vec::new();
    if before.version != after.version {
        changes.push(CatalogChange::Version { before: before.version, after: after.version });
    }
    for queue in before.queues.keys().filter(|queue| !after.queues.contains_key(*queue)) {
        changes.push(CatalogChange::QueueRemoved { queue: queue.clone() });
    }
    for (position, (queue, rule)) in after.queues.iter().enumerate() {
        match before.queues.get(queue) {
            Some(earlier) => changes.extend(rule_changes(position, earlier, rule)),
            None => changes.push(CatalogChange::QueueAdded { position, queue: queue.clone() }),
        }
    }
    changes.extend(service_changes(before, after));
    changes.extend(limit_changes(before, after));
    if changes.is_empty() && before.document != after.document {
        changes.push(CatalogChange::UnusedText);
    }
    changes
}

fn rule_changes(position: usize, before: &QueueRule, after: &QueueRule) -> Vec<CatalogChange> {
    // Every field is named here, so that a new one is not left out.
    let QueueRule {
        host,
        path_prefix,
        service,
        priority,
        max_attempts,
        critical_path_factor,
        base_objective_ms,
        timeout_ms,
    } = after;
    let fields = [
        (QueueField::Host, value_change(&before.host, host)),
        (QueueField::PathPrefix, value_change(&before.path_prefix, path_prefix)),
        (QueueField::Service, value_change(&before.service, service)),
        (QueueField::Timeout, value_change(&before.timeout_ms, timeout_ms)),
        (QueueField::BaseObjective, value_change(&before.base_objective_ms, base_objective_ms)),
        (QueueField::Priority, value_change(&before.priority, priority)),
        (QueueField::MaxAttempts, value_change(&before.max_attempts, max_attempts)),
        (
            QueueField::CriticalPathFactor,
            value_change(&before.critical_path_factor, critical_path_factor),
        ),
    ];
    let change = |(field, values): (QueueField, Option<(CompactString, CompactString)>)| {
        let (before, after) = values?;
        let place = CatalogPlace::Queue(position, field);
        Some(CatalogChange::Value { place, before: Some(before), after: Some(after) })
    };
    fields.into_iter().filter_map(change).collect()
}

fn value_change<T: PartialEq + Display>(
    before: &T,
    after: &T,
) -> Option<(CompactString, CompactString)> {
    (before != after).then(|| (before.to_compact_string(), after.to_compact_string()))
}

fn service_changes(before: &QueueCatalog, after: &QueueCatalog) -> Vec<CatalogChange> {
    let removed = before.services.keys().filter(|service| !after.services.contains_key(*service));
    let mut changes: Vec<CatalogChange> =
        removed.map(|service| CatalogChange::ServiceRemoved { service: service.clone() }).collect();
    for (position, (service, rule)) in after.services.iter().enumerate() {
        match before.services.get(service) {
            None => {
                changes.push(CatalogChange::ServiceAdded { position, service: service.clone() });
            }
            Some(earlier) if earlier != rule => {
                let enforces_capacity = rule.enforces_capacity;
                changes.push(CatalogChange::Enforcement { position, enforces_capacity });
            }
            Some(_) => {}
        }
    }
    changes
}

fn limit_changes(
    before: &QueueCatalog,
    after: &QueueCatalog,
) -> impl Iterator<Item = CatalogChange> {
    let fields = |catalog: &QueueCatalog| {
        let RequestLimits { max_header_bytes, header_timeout_ms, idle_timeout_ms } =
            catalog.request_limits;
        [
            (LimitField::Body, Some(catalog.body_limit_bytes)),
            (LimitField::Header, max_header_bytes),
            (LimitField::HeaderTimeout, header_timeout_ms),
            (LimitField::IdleTimeout, idle_timeout_ms),
        ]
    };
    let pairs = fields(before).into_iter().zip(fields(after));
    let text = |value: Option<u64>| value.map(|value| value.to_compact_string());
    pairs.filter(|((_, before), (_, after))| before != after).map(
        move |((field, before), (_, after))| CatalogChange::Value {
            place: CatalogPlace::Limit(field),
            before: text(before),
            after: text(after),
        },
    )
}
