//! Entries of an operators' text that contradict each other or have no effect.

use std::time::Duration;

use model::{OperatorConfig, ServiceId, WorkerId};

/// What has no effect, or contradicts something else, in an operators' text that is valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TextWarning {
    /// The declared run time of a service's tasks is longer than its requests may take.
    LongDeclared {
        /// The service.
        service: ServiceId,
        /// Declared run time of tasks without one.
        declared: Duration,
        /// Deadline of requests without one.
        deadline: Duration,
    },
    /// A service lists a dependency twice.
    RepeatedDependency {
        /// The service.
        service: ServiceId,
        /// Position of the repetition in the list.
        position: usize,
        /// The dependency.
        dependency: ServiceId,
    },
    /// Both weights of the balance are 0, which counts as equal weights.
    NoWeights,
    /// A worker is listed twice as drained.
    RepeatedWorker {
        /// Position of the repetition in the list.
        position: usize,
        /// The worker.
        worker: WorkerId,
    },
}

/// All warnings about a valid text, in the order of its fields.
pub fn text_warnings(text: &OperatorConfig) -> Vec<TextWarning> {
    let mut warnings = Vec::new();
    for (service, config) in &text.services {
        for (position, dependency) in repetitions(&config.depends_on) {
            let (service, dependency) = (service.clone(), dependency.clone());
            warnings.push(TextWarning::RepeatedDependency { service, position, dependency });
        }
        let (declared, deadline) = (config.declared(), config.deadline());
        if declared > deadline {
            let service = service.clone();
            warnings.push(TextWarning::LongDeclared { service, declared, deadline });
        }
    }
    if text.balance.slowdown_weight + text.balance.waste_weight == 0.0 {
        warnings.push(TextWarning::NoWeights);
    }
    for (position, worker) in repetitions(&text.drained_workers) {
        warnings.push(TextWarning::RepeatedWorker { position, worker: worker.clone() });
    }
    warnings
}

/// The items that equal an earlier one, with their positions.
fn repetitions<T: PartialEq>(items: &[T]) -> impl Iterator<Item = (usize, &T)> {
    let is_repeated = |(position, item): &(usize, &T)| items[..*position].contains(*item);
    items.iter().enumerate().filter(is_repeated)
}
