//! Measures the time of one routing decision, for each policy, among the
//! workers known to an entry.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use decisions::entry::{Candidate, WorkerChooser};
use model::RoutingPolicy;
use strum::IntoEnumIterator;

const WORKERS: u32 = 200;
const BASE_US: f64 = 180_000.0;
const MEAN_US: f64 = 260_000.0;

fn candidates() -> Vec<Candidate> {
    let candidate = |number: u32| Candidate {
        slots: 8,
        load: number % 9,
        own: number % 5,
        slowness: 1.0 + f64::from(number % 7) / 10.0,
        queue_limit: 64,
        prefetch: 2,
        credits: 4,
    };
    (0..WORKERS).map(candidate).collect()
}

fn routing(criterion: &mut Criterion) {
    let candidates = candidates();
    for policy in RoutingPolicy::iter() {
        let mut chooser = WorkerChooser::new(policy, 1);
        criterion.bench_function(&format!("{policy}/{WORKERS}"), |bencher| {
            bencher.iter(|| chooser.choose(black_box(&candidates), BASE_US, MEAN_US));
        });
    }
}

criterion_group!(benches, routing);
criterion_main!(benches);
