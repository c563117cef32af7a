//! Sizes of the backend servers by the steps that may run there.
//!
//! Handles the load pattern *jobs that are too large for every server*: they wait in vain
//! and delay no others.

use model::{JobStep, LabelId, ResourceAmount, ServerView, ServiceId};

/// What a backend server offers, regardless of what it runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ServerShape {
    service: ServiceId,
    labels: Vec<LabelId>,
    capacity: ResourceAmount,
}

impl ServerShape {
    pub(super) fn of(server: &ServerView) -> ServerShape {
        let ServerView { service, labels, capacity, .. } = server.clone();
        ServerShape { service, labels, capacity }
    }

    /// Whether the server runs tasks of a service.
    pub(super) fn serves(&self, service: &ServiceId) -> bool {
        self.service == *service
    }

    /// Whether the server, when it is idle, can run a task of the step.
    pub(super) fn can_run(&self, service: &ServiceId, step: &JobStep) -> bool {
        self.serves(service)
            && has_label(&self.labels, step.required_label.as_ref())
            && self.capacity.fits(&step.size)
    }
}

/// Whether a server, when it is idle, can run a task of a step.
pub(super) fn can_run(server: &ServerView, service: &ServiceId, step: &JobStep) -> bool {
    server.service == *service
        && has_label(&server.labels, step.required_label.as_ref())
        && server.capacity.fits(&step.size)
}

/// The different sizes of the servers of one service that have one label.
#[derive(Debug)]
struct SizeClass {
    service: ServiceId,
    label: Option<LabelId>,
    sizes: Vec<ResourceAmount>,
}

/// The sizes of some servers, by service and label as far as they were asked for.
pub(super) struct ServerSizes<'servers> {
    servers: Vec<&'servers ServerView>,
    classes: Vec<SizeClass>,
}

impl<'servers> ServerSizes<'servers> {
    pub(super) fn new(servers: impl Iterator<Item = &'servers ServerView>) -> Self {
        ServerSizes { servers: servers.collect(), classes: Vec::new() }
    }

    /// Whether one of the servers, when it is idle, can run a task of the step.
    pub(super) fn can_run(&mut self, service: &ServiceId, step: &JobStep) -> bool {
        let label = &step.required_label;
        let is_same = |class: &SizeClass| class.service == *service && class.label == *label;
        let position = self.classes.iter().position(is_same).unwrap_or_else(|| {
            let sizes = self.sizes(service, label.as_ref());
            self.classes.push(SizeClass { service: service.clone(), label: label.clone(), sizes });
            self.classes.len() - 1
        });
        self.classes[position].sizes.iter().any(|size| size.fits(&step.size))
    }

    fn sizes(&self, service: &ServiceId, label: Option<&LabelId>) -> Vec<ResourceAmount> {
        let mut sizes = Vec::new();
        for server in &self.servers {
            let is_eligible = server.service == *service && has_label(&server.labels, label);
            if is_eligible && !sizes.contains(&server.capacity) {
                sizes.push(server.capacity);
            }
        }
        sizes
    }
}

/// Whether a server with these labels has the required one.
pub(super) fn has_label(labels: &[LabelId], required: Option<&LabelId>) -> bool {
    required.is_none_or(|label| labels.contains(label))
}
