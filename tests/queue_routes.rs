//! Routing of a caller's request to a queue by host name and path prefix.

use std::sync::Arc;

use decisions::entry::QueueRoutes;
use model::{QueueCatalog, QueueRule};

use crate::schedule_model::catalog;

fn queue_routes(rules: &[(&str, &str, &str)]) -> QueueRoutes {
    let mut catalog = QueueCatalog::clone(&catalog(3));
    let rule: QueueRule = catalog.queues[0].clone();
    catalog.queues.clear();
    for (name, host, prefix) in rules {
        let rule =
            QueueRule { host: (*host).into(), path_prefix: (*prefix).into(), ..rule.clone() };
        catalog.queues.insert((*name).into(), rule);
    }
    QueueRoutes::new(&Arc::new(catalog))
}

fn find<'a>(routes: &'a QueueRoutes, host: &str, path: &'a str) -> Option<(&'a str, &'a str)> {
    routes.find(host, path).map(|route| (route.queue.as_str(), route.path_suffix))
}

#[test]
fn longest_prefix_wins() {
    let routes = queue_routes(&[("wide", "a.example", "/x/"), ("narrow", "a.example", "/x/y/")]);
    assert_eq!(find(&routes, "a.example", "/x/y/17"), Some(("narrow", "17")));
    assert_eq!(find(&routes, "a.example", "/x/17"), Some(("wide", "17")));
    assert_eq!(find(&routes, "a.example", "/x/"), Some(("wide", "")));
}

#[test]
fn hosts_are_separate() {
    let routes = queue_routes(&[("one", "a.example", "/x/"), ("other", "b.example", "/x/")]);
    assert_eq!(find(&routes, "B.example:8080", "/x/1"), Some(("other", "1")));
    assert_eq!(find(&routes, "c.example", "/x/1"), None);
    assert_eq!(find(&routes, "", "/x/1"), None);
}

#[test]
fn unknown_path_refused() {
    let routes = queue_routes(&[("one", "a.example", "/x/")]);
    assert_eq!(find(&routes, "a.example", "/y/1"), None);
    assert_eq!(find(&routes, "a.example", "/x"), None);
}
