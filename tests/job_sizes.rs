//! Jobs of different sizes in an overload. Guards against large jobs that are
//! served far less often than small ones of the same kind, because their tasks are
//! started one after the other until the last ones can't end in time.

use std::time::Duration;

use crate::overload_model::OverloadModel;

const AGENTS: usize = 11;
/// Jobs a second above which the backend servers are full.
const JOBS_PER_SECOND: u32 = 69;
/// Run times of the backend servers, as percentages of those of the jobs.
const SLOWNESS: [u64; 4] = [55, 120, 120, 120];
/// Every how many servers one turns slow, and its slowness then.
const DEGRADED_INTERVAL: usize = 4;
const DEGRADED_SLOWNESS: u64 = 600;
/// Least share of the largest jobs that is served, of the share of all of their kind: the
/// users' rule.
const MIN_SIZE_SHARE: f64 = 0.5;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An overload of 30 s by this factor, with servers of different speeds of which some are
/// degraded.
fn overloaded_model(seed: u64, factor: f64) -> OverloadModel {
    let mut model = OverloadModel::new(AGENTS);
    model.vary_jobs(seed);
    for agent in 0..AGENTS {
        model.set_slowness(agent, secs(0), SLOWNESS[agent % SLOWNESS.len()]);
    }
    for agent in (1..AGENTS).step_by(DEGRADED_INTERVAL) {
        model.set_slowness(agent, secs(4), DEGRADED_SLOWNESS);
    }
    model.add_load(secs(1), secs(4), JOBS_PER_SECOND);
    let overload = f64::from(JOBS_PER_SECOND) * factor;
    model.add_load(secs(4), secs(34), overload as u32);
    model.play(secs(37));
    model
}

/// The outcomes of the seeds on which the largest jobs are served too seldom.
fn short_outcomes(factor: f64) -> Vec<String> {
    let mut short = Vec::new();
    for seed in SEEDS {
        let model = overloaded_model(seed, factor);
        let [tenth, fifth, all] = model.served_by_size();
        let outcome = format!(
            "seed {seed}: of the largest tenth {tenth:.2}, of the next fifth {fifth:.2}, of all {all:.2}; \
             other kinds {:.2} and {:.2}; {} starts too late",
            model.served_kind(0),
            model.served_kind(2),
            model.counts().too_late
        );
        println!("{outcome}");
        if tenth.min(fifth) < all * MIN_SIZE_SHARE {
            short.push(outcome);
        }
    }
    short
}

#[test]
fn large_jobs_served() {
    assert_eq!(short_outcomes(1.7), Vec::<String>::new());
}

// Guards against an order in which the jobs that have waited longest, and are the least
// likely to complete, take the fast servers from the newest.
#[test]
fn heavy_overload_shared() {
    assert_eq!(short_outcomes(2.8), Vec::<String>::new());
}
