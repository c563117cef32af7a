//! Speeds of backend servers as their agents learn them. A scheduler that knows a server only
//! by its own latest runs, the tasks of two or three jobs, can't tell fast servers from slow
//! ones: the tasks of a job share the error of its estimate. Errors here have a logarithm
//! with a standard deviation of 0.4, and tasks of one job differ by 0.15.

use std::time::{Duration, Instant};

use decisions::agent::{RunTime, ServerSpeed};
use decisions::schedule::SpeedEstimate;
use model::JobId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const ESTIMATE: Duration = Duration::from_millis(200);
/// Time between two jobs at one server.
const JOB_INTERVAL: Duration = Duration::from_millis(90);
/// Spread of the error that the tasks of a job share.
const JOB_SPREAD: f64 = 0.4;
/// Spread among the tasks of a job.
const TASK_SPREAD: f64 = 0.15;
/// Tasks of a job at one server.
const TASKS: usize = 3;
/// Part of the jobs that take [`TAIL_FACTOR`] times as long.
const TAIL_SHARE: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// A server and the jobs that run there, one after the other.
struct ServerModel {
    now: Instant,
    random: StdRng,
    speed: ServerSpeed,
    /// Run time over the estimate of a job without error.
    slowness: f64,
    tail_share: f64,
    jobs: usize,
}

impl ServerModel {
    fn new(seed: u64, slowness: f64) -> ServerModel {
        let now = Instant::now();
        let (random, speed) = (StdRng::seed_from_u64(seed), ServerSpeed::new(now));
        ServerModel { now, random, speed, slowness, tail_share: 0.0, jobs: 0 }
    }

    /// A random factor whose logarithm has a mean of 0 and about a normal distribution.
    fn factor(&mut self, spread: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.random.random_range(0.0..1.0)).sum::<f64>() - 6.0;
        (normal * spread).exp()
    }

    /// Run times of the tasks of the next job.
    fn next_job(&mut self) -> Vec<Duration> {
        let mut slowness = self.slowness * self.factor(JOB_SPREAD);
        if self.random.random_bool(self.tail_share) {
            slowness *= TAIL_FACTOR;
        }
        (0..TASKS).map(|_| ESTIMATE.mul_f64(slowness * self.factor(TASK_SPREAD))).collect()
    }

    /// Runs a job here and returns the run times of its tasks.
    fn run_job(&mut self) -> Vec<Duration> {
        self.now += JOB_INTERVAL;
        self.jobs += 1;
        let (job, tasks) = (job_id(self.jobs), self.next_job());
        for ran in &tasks {
            self.speed.add_completed(self.now, &job, run_time(*ran));
        }
        self.speed.update(self.now, std::iter::empty());
        tasks
    }

    fn run_jobs(&mut self, count: usize) {
        for _ in 0..count {
            self.run_job();
        }
    }

    fn learned(&self) -> f64 {
        self.speed.report().expect("jobs have run").slowness()
    }

    /// Number of jobs until the learned slowness meets a condition.
    fn jobs_until(&mut self, is_met: impl Fn(f64) -> bool) -> usize {
        let mut jobs = 0;
        while !is_met(self.learned()) {
            self.run_job();
            jobs += 1;
            assert!(jobs < 1_000, "the slowness stays at {}", self.learned());
        }
        jobs
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").into()
}

fn run_time(ran: Duration) -> RunTime {
    RunTime { ran, estimate: ESTIMATE }
}

/// Root mean square of logarithmic errors.
fn spread_of(errors: impl Iterator<Item = f64>) -> f64 {
    let errors: Vec<f64> = errors.collect();
    (errors.iter().map(|error| error * error).sum::<f64>() / errors.len() as f64).sqrt()
}

/// Guards against a placement of long tasks on slow servers while fast ones are free: after
/// 32 jobs at each, the order of the two is right for every one of 200 pairs.
#[test]
fn order_is_learned() {
    for pair in 0..200 {
        let (mut fast, mut slow) =
            (ServerModel::new(2 * pair, 0.8), ServerModel::new(2 * pair + 1, 1.25));
        fast.run_jobs(32);
        slow.run_jobs(32);
        assert!(fast.learned() < slow.learned(), "{} {}", fast.learned(), slow.learned());
    }
}

/// Guards against learning from each entry's few jobs alone: of eight entries that send their
/// jobs to a server in turn, none knows its speed as well as its agent. One in 33 jobs takes
/// seven times as long.
#[test]
fn agent_beats_entries() {
    let mut agent_errors = Vec::new();
    let mut entry_errors = Vec::new();
    for seed in 0..100 {
        let slowness = [0.8_f64, 1.0, 1.25][seed as usize % 3];
        let mut server = ServerModel::new(seed, slowness);
        server.tail_share = TAIL_SHARE;
        let mut entries = vec![SpeedEstimate::new(server.now); 8];
        for number in 0..160 {
            let tasks = server.run_job();
            let entry = &mut entries[number % 8];
            tasks.into_iter().for_each(|ran| entry.add_sample(server.now, ran, ESTIMATE));
        }
        agent_errors.push((server.learned() / slowness).ln());
        entry_errors.extend(entries.iter().map(|entry| (entry.slowness() / slowness).ln()));
    }
    let agent = spread_of(agent_errors.into_iter());
    let entry = spread_of(entry_errors.into_iter());
    assert!(agent < 0.12, "{agent}");
    assert!(agent < entry / 2.0, "{agent} {entry}");
}

/// Guards against work for a server that has become slow: from the 12th job on it counts as
/// much slower, of 100 servers, although most jobs before were as fast as usual.
#[test]
fn slow_server_detected() {
    for seed in 0..100 {
        let mut server = ServerModel::new(seed, 1.0);
        server.run_jobs(200);
        server.slowness = 4.0;
        let jobs = server.jobs_until(|learned| learned > 1.8);
        assert!(jobs <= 12, "{jobs} jobs");
    }
}

/// A server that stays slow, or fast, ends with its true speed as the long average.
#[test]
fn lasting_change_adopted() {
    for seed in 0..50 {
        let mut server = ServerModel::new(seed, 1.0);
        server.run_jobs(200);
        server.slowness = 4.0;
        server.run_jobs(300);
        assert!((server.learned() / 4.0).ln().abs() < 0.25, "{}", server.learned());
    }
}

/// Guards against a server that counts as slow long after it has recovered, for any time in
/// which it was slow.
#[test]
fn recovery_is_learned() {
    for seed in 0..100 {
        for slow_jobs in [10, 20, 40, 80, 300] {
            let mut server = ServerModel::new(seed, 1.0);
            server.run_jobs(200);
            server.slowness = 4.0;
            server.run_jobs(slow_jobs);
            server.slowness = 1.0;
            let jobs = server.jobs_until(|learned| learned < 1.6);
            assert!(jobs <= 24, "{jobs} jobs after {slow_jobs} slow ones");
        }
    }
}

/// A server that no scheduler gives work to, because it was slow, is tried again.
#[test]
fn idle_server_tried() {
    let mut server = ServerModel::new(1, 1.0);
    server.run_jobs(200);
    server.slowness = 4.0;
    server.run_jobs(12);
    let slow = server.learned();
    assert!(slow > 2.0, "{slow}");
    while let Some(due) = server.speed.next_decay() {
        assert!(due > server.now, "a decay is due that was just done");
        server.now = due;
        server.speed.update(due, std::iter::empty());
    }
    assert!(server.learned() < 1.8, "{}", server.learned());
}

/// Jobs that take seven times as long as usual, one in 33, must not make servers look slow or
/// fast in turn: the recent average stays out of use at nearly all times.
#[test]
fn long_jobs_tolerated() {
    let mut taken_over = 0;
    for seed in 0..50 {
        let mut server = ServerModel::new(seed, 1.0);
        server.tail_share = TAIL_SHARE;
        for _ in 0..1_000 {
            server.run_job();
            taken_over += usize::from(server.speed.has_recent_taken_over());
        }
    }
    assert!(taken_over < 50 * 1_000 / 20, "{taken_over} of 50,000 jobs");
}

/// Tasks that stand still never end: without their lower bounds the server would keep its
/// speed. One job that stands still may as well be a long one.
#[test]
fn overdue_jobs_count() {
    let mut server = ServerModel::new(1, 1.0);
    server.run_jobs(200);
    let before = server.learned();
    let jobs: Vec<JobId> = (1..=8).map(job_id).collect();
    let running = |count: usize| jobs[..count].iter().map(|job| (job, run_time(ESTIMATE * 10)));
    let tasks_of_one = [&jobs[0]; 8].into_iter().map(|job| (job, run_time(ESTIMATE * 10)));
    server.speed.update(server.now, tasks_of_one);
    assert!((server.learned() - before).abs() < 0.01, "eight tasks of one job");
    server.speed.update(server.now, running(8));
    assert!(server.learned() > 3.0 * before, "{}", server.learned());
    server.speed.update(server.now, std::iter::empty());
    assert!((server.learned() - before).abs() < 0.01, "the runs are gone");
}

/// A run that is stopped after ten times its estimate says at least that much; one that is
/// stopped early says nothing.
#[test]
fn stopped_runs_bound() {
    let mut server = ServerModel::new(1, 1.0);
    server.run_jobs(200);
    let before = server.learned();
    let mut stop = |number: usize, ran: Duration| {
        server.speed.add_stopped(server.now, &job_id(1_000 + number), run_time(ran));
        server.speed.update(server.now, std::iter::empty());
        server.speed.report().expect("jobs have run").slowness()
    };
    for number in 0..20 {
        assert!((stop(number, ESTIMATE / 4) - before).abs() < 0.01, "stopped early");
    }
    let after = (20..28).map(|number| stop(number, ESTIMATE * 10)).last();
    assert!(after.is_some_and(|after| after > 3.0 * before), "{after:?}");
}

/// The tasks of a job share its error, so a job with many of them counts once, when the last
/// one has ended.
#[test]
fn job_counts_once() {
    let now = Instant::now();
    let mut speed = ServerSpeed::new(now);
    let job = job_id(1);
    for _ in 0..4 {
        speed.add_completed(now, &job, run_time(ESTIMATE * 2));
        speed.update(now, [(&job, run_time(ESTIMATE))].into_iter());
        assert_eq!(speed.report(), None, "other runs of the job are active");
    }
    speed.update(now, std::iter::empty());
    let report = speed.report().expect("the job has ended");
    assert_eq!((report.slowness_milli, report.jobs), (2_000, 1));
}

/// A job without an end, with tasks one after the other, counts all the same.
#[test]
fn endless_job_counts() {
    let start = Instant::now();
    let mut speed = ServerSpeed::new(start);
    let job = job_id(1);
    for step in 0..30 {
        let now = start + Duration::from_millis(100 * step);
        speed.add_completed(now, &job, run_time(ESTIMATE * 2));
        speed.update(now, [(&job, run_time(ESTIMATE / 2))].into_iter());
    }
    assert_eq!(speed.report().map(|report| report.jobs), Some(2));
}
