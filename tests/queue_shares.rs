//! Shares and priorities of queues while capacity is short. Guards against urgent jobs
//! that are refused or late behind work of other queues, and against queues, or the
//! largest jobs of a queue, that get nothing because others always come first.

use std::time::{Duration, Instant};

use decisions::schedule::{QueueShares, RankCause, ShareRank, WaitingGroup, WorkClass};
use model::{Precedence, QueueCatalog, QueueId, QueueRule};

use crate::caller_jobs::LONG_KIND;
use crate::overload_model::OverloadModel;
use crate::schedule_model::{OTHER_SERVICE, QUEUE, SERVICE, catalog};

const URGENT: &str = "urgent";
const PATIENT: &str = "patient";
/// Core-milliseconds that the backend servers complete in [`TICK`].
const CAPACITY: u64 = 1_000;
const TICK: Duration = Duration::from_millis(10);
/// Work of a usual job, and of one of each ten, in core-milliseconds.
const JOB_WORK: u64 = 100;
const LARGE_WORK: u64 = 400;

/// A catalog with these queues of one service, by priority.
fn queues(version: u64, queues: &[(&str, u32)]) -> QueueCatalog {
    let mut catalog = QueueCatalog::clone(&catalog(version));
    let rule = catalog.queues.shift_remove(QUEUE).expect("the queue is there");
    for (queue, priority) in queues {
        let rule = QueueRule { priority: *priority, ..rule.clone() };
        catalog.queues.insert((*queue).into(), rule);
    }
    catalog
}

/// Waiting jobs of one task each, for backend servers that are always full.
struct ShareModel {
    now: Instant,
    shares: QueueShares,
    rule: QueueRule,
    /// In the order of their latest starts: class, work, and the tick of the arrival.
    waiting: Vec<(WorkClass, u64, u64)>,
    tick: u64,
    /// Work that was not used in the ticks before, negative if it was exceeded.
    capacity: i64,
    /// Jobs that were submitted and placed, by queue, with those that are large.
    submitted: Vec<WorkClass>,
    placed: Vec<(WorkClass, u64)>,
}

impl ShareModel {
    fn new(catalog: &QueueCatalog) -> ShareModel {
        let now = Instant::now();
        let mut shares = QueueShares::new(now);
        shares.on_catalog(catalog);
        let rule = catalog.queues.values().last().expect("a queue").clone();
        ShareModel {
            now,
            shares,
            rule,
            waiting: Vec::new(),
            tick: 0,
            capacity: 0,
            submitted: Vec::new(),
            placed: Vec::new(),
        }
    }

    fn submit(&mut self, queue: &str, work: u64) {
        let class = self.shares.add_admitted(self.now, &queue.into(), &self.rule, work);
        self.submitted.push(class.clone());
        self.waiting.push((class, work, self.tick));
    }

    /// Places waiting jobs in the order of the decision while there is capacity; jobs that
    /// have waited for `patience` ticks leave, as at the end of their callers' wait.
    fn place(&mut self, patience: u64) {
        self.capacity = (self.capacity + CAPACITY as i64).min(CAPACITY as i64);
        let tick = self.tick;
        self.waiting.retain(|(_, _, at)| at + patience > tick);
        self.shares.set_contention(&[&SERVICE.into()]);
        let ranks = self.ranks();
        let mut order: Vec<usize> = (0..self.waiting.len()).collect();
        order.sort_by_key(|position| ranks[*position]);
        let mut taken = Vec::new();
        for position in order {
            if self.capacity <= 0 {
                break;
            }
            let (class, work, _) = &self.waiting[position];
            self.capacity -= *work as i64;
            self.shares.add_placed(self.now, class, *work, ranks[position]);
            self.placed.push((class.clone(), *work));
            taken.push(position);
        }
        taken.sort_unstable();
        for position in taken.into_iter().rev() {
            self.waiting.remove(position);
        }
        self.now += TICK;
        self.tick += 1;
    }

    fn ranks(&mut self) -> Vec<Option<ShareRank>> {
        let groups: Vec<WaitingGroup<'_>> = self
            .waiting
            .iter()
            .map(|(class, work, _)| WaitingGroup { class, work: u128::from(*work) })
            .collect();
        self.shares.ranks(self.now, &groups)
    }

    /// Share of a queue in all placed work.
    fn placed_share(&self, queue: &str) -> f64 {
        let sum = |own: bool| -> u64 {
            let placed = self.placed.iter();
            placed.filter(|(class, _)| !own || class.queue == queue).map(|(_, work)| work).sum()
        };
        sum(true) as f64 / sum(false) as f64
    }

    /// Share of a queue's jobs that were placed, of its large ones alone or of all.
    fn served(&self, queue: &str, large_only: bool) -> f64 {
        let counts = |class: &&WorkClass| class.queue == queue && (class.is_large || !large_only);
        let placed = self.placed.iter().map(|(class, _)| class).filter(counts).count();
        placed as f64 / self.submitted.iter().filter(counts).count() as f64
    }
}

/// Two queues with 1.5 times the capacity; `urgent_tenths` of it are of the urgent one.
fn contended_model(urgent_tenths: u64) -> ShareModel {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    for _ in 0..2_000 {
        for _ in 0..urgent_tenths {
            model.submit(URGENT, JOB_WORK);
        }
        for _ in urgent_tenths..15 {
            model.submit(PATIENT, JOB_WORK);
        }
        model.place(30);
    }
    model
}

// Guards against urgent jobs that are served as seldom as all others in a peak.
#[test]
fn priority_served_first() {
    let model = contended_model(7);
    let (urgent, patient) = (model.served(URGENT, false), model.served(PATIENT, false));
    assert!(urgent >= 0.98, "urgent {urgent:.2}, patient {patient:.2}");
    assert!(patient >= 0.33, "the rest of the capacity is the other queue's: {patient:.2}");
}

// Guards against a queue of low priority that gets nothing while urgent work alone
// exceeds the capacity.
#[test]
fn patient_keeps_share() {
    let model = contended_model(12);
    let share = model.placed_share(PATIENT);
    assert!((0.09..=0.15).contains(&share), "{share:.3} of the capacity, a tenth guaranteed");
}

// The same with a larger guarantee, for queues whose jobs are worth much although they are
// not urgent.
#[test]
fn guarantee_is_set() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    model.shares = model.shares.clone().with_guarantee(0.25);
    for _ in 0..2_000 {
        for _ in 0..12 {
            model.submit(URGENT, JOB_WORK);
            model.submit(PATIENT, JOB_WORK);
        }
        model.place(30);
    }
    let share = model.placed_share(PATIENT);
    assert!((0.23..=0.35).contains(&share), "{share:.3} of the capacity, a quarter guaranteed");
}

// Guards against a queue that saves up a share while it has no work, and then holds up
// the urgent one.
#[test]
fn idle_saves_nothing() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    for _ in 0..2_000 {
        for _ in 0..12 {
            model.submit(URGENT, JOB_WORK);
        }
        model.place(30);
    }
    model.placed.clear();
    for _ in 0..500 {
        for _ in 0..12 {
            model.submit(URGENT, JOB_WORK);
            model.submit(PATIENT, JOB_WORK);
        }
        model.place(30);
    }
    let share = model.placed_share(PATIENT);
    assert!((0.09..=0.2).contains(&share), "{share:.3} of the capacity after its rest");
}

// Guards against large jobs that are passed over for small ones until their callers leave.
#[test]
fn large_jobs_share() {
    let mut model = ShareModel::new(&queues(1, &[(PATIENT, 2)]));
    for tick in 0..2_000 {
        // Small jobs have the earlier latest starts in each tick.
        for _ in 0..11 {
            model.submit(PATIENT, JOB_WORK);
        }
        if tick % 2 == 0 {
            model.submit(PATIENT, LARGE_WORK);
            model.submit(PATIENT, LARGE_WORK);
        }
        model.waiting.sort_by_key(|(_, work, _)| *work);
        model.place(30);
    }
    let (large, all) = (model.served(PATIENT, true), model.served(PATIENT, false));
    assert!(model.submitted.iter().filter(|class| class.is_large).count() > 1_500);
    assert!(large >= all / 2.0, "of the large jobs {large:.2}, of all {all:.2}");
}

// Guards against a share for the large jobs that starves the others of their queue.
#[test]
fn small_jobs_kept() {
    let mut model = ShareModel::new(&queues(1, &[(PATIENT, 2)]));
    for _ in 0..2_000 {
        for _ in 0..11 {
            model.submit(PATIENT, JOB_WORK);
        }
        model.submit(PATIENT, LARGE_WORK);
        model.place(30);
    }
    let (large, all) = (model.served(PATIENT, true), model.served(PATIENT, false));
    assert!(large <= all * 1.5, "of the large jobs {large:.2}, of all {all:.2}");
}

// Guards against an order that changes while capacity is free.
#[test]
fn free_capacity_unranked() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    model.submit(PATIENT, JOB_WORK);
    model.submit(URGENT, JOB_WORK);
    assert!(!model.shares.set_contention(&[]));
    assert_eq!(model.ranks(), [None, None]);
    assert!(model.shares.set_contention(&[&OTHER_SERVICE.into()]));
    assert_eq!(model.ranks(), [None, None], "only another service is short of capacity");
    assert!(model.shares.set_contention(&[&SERVICE.into()]));
    let ranks = model.ranks();
    assert!(ranks[1] < ranks[0], "{ranks:?}");
    assert_eq!(ranks[0].map(|rank| rank.cause()), Some(RankCause::Priority));
}

// Guards against shares that count the work of another service, for which no queue of
// this one competes.
#[test]
fn services_counted_apart() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    let rule = QueueRule { service: OTHER_SERVICE.into(), ..model.rule.clone() };
    let class = model.shares.add_admitted(model.now, &"other".into(), &rule, JOB_WORK);
    model.shares.add_placed(model.now, &class, 1_000_000, None);
    model.submit(PATIENT, JOB_WORK);
    model.submit(URGENT, JOB_WORK);
    model.shares.set_contention(&[&SERVICE.into()]);
    let causes: Vec<_> = model.ranks().into_iter().flatten().map(|rank| rank.cause()).collect();
    assert_eq!(causes, [RankCause::Priority, RankCause::Priority]);
}

// Guards against a new catalog that is ignored, or that loses what queues have used.
#[test]
fn catalog_changes_priority() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    let used = WorkClass { queue: PATIENT.into(), is_large: false };
    model.shares.add_placed(model.now, &used, 10 * JOB_WORK, None);
    let used = WorkClass { queue: URGENT.into(), is_large: false };
    model.shares.add_placed(model.now, &used, 10 * JOB_WORK, None);
    model.submit(URGENT, JOB_WORK);
    model.submit(PATIENT, JOB_WORK);
    model.shares.set_contention(&[&SERVICE.into()]);
    let before = model.ranks();
    assert!(before[0] < before[1], "{before:?}");
    model.shares.on_catalog(&queues(2, &[(URGENT, 3), (PATIENT, 1)]));
    let after = model.ranks();
    assert!(after[1] < after[0], "{after:?}");
    assert_eq!(after[1].map(|rank| rank.priority()), Some(1));
}

// Guards against accepted work that is never placed since its queue has gone, and against
// queues that are remembered for ever.
#[test]
fn removed_queue_drained() {
    let mut model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    let known = model.shares.queue_count();
    for _ in 0..20 {
        model.submit(PATIENT, JOB_WORK);
    }
    model.shares.on_catalog(&queues(2, &[(URGENT, 0)]));
    for _ in 0..500 {
        for _ in 0..12 {
            model.submit(URGENT, JOB_WORK);
        }
        model.place(2_000);
    }
    assert!((model.served(PATIENT, false) - 1.0).abs() < f64::EPSILON, "all of its jobs ran");
    model.now += Duration::from_secs(120);
    model.submit(URGENT, JOB_WORK);
    assert_eq!(model.shares.queue_count(), known - 1);
}

// Guards against an admission that refuses urgent jobs for work that they will pass, and
// against one that promises a queue less than its share.
#[test]
fn work_ahead_by_priority() {
    let model = ShareModel::new(&queues(1, &[(URGENT, 0), (PATIENT, 2)]));
    let ahead = |queue: &str, left: &[(&str, u128)]| {
        let left: Vec<(QueueId, u128)> =
            left.iter().map(|(queue, work)| ((*queue).into(), *work)).collect();
        model.shares.work_before_new(&queue.into(), left.iter().map(|(queue, work)| (queue, *work)))
    };
    let left = [(URGENT, 500), (PATIENT, 3_000)];
    assert_eq!(ahead(URGENT, &left), 500);
    assert_eq!(ahead(PATIENT, &left), 3_500);
    assert_eq!(ahead(PATIENT, &[(URGENT, 5_000), (PATIENT, 30)]), 300);
    assert_eq!(ahead("unknown", &left), 3_500);
}

const AGENTS: usize = 11;
/// Seed of the sizes of jobs and of the errors of estimates.
const SEED: u64 = 1;
/// Run times of the backend servers, as percentages of those of the jobs.
const SLOWNESS: [u64; 4] = [55, 120, 120, 120];
/// Jobs a second that fill the backend servers, by [`OverloadModel`]'s kinds.
const FULL_JOBS_PER_SECOND: f64 = 95.0;
/// Positions of the kinds of the highest and the middle priority.
const SHORT_KIND: usize = 0;
const MIDDLE_KIND: usize = 2;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A load of 30 s by this factor of the capacity.
fn loaded_model(factor: f64, precedence: Option<Precedence>, seed: u64) -> OverloadModel {
    let mut model = OverloadModel::with_queues(AGENTS, precedence);
    model.vary_jobs(seed);
    for agent in 0..AGENTS {
        model.set_slowness(agent, secs(0), SLOWNESS[agent % SLOWNESS.len()]);
    }
    model.add_load(secs(1), secs(31), (FULL_JOBS_PER_SECOND * factor) as u32);
    model.play(secs(34));
    model
}

fn described(model: &OverloadModel) -> String {
    let kinds = [SHORT_KIND, MIDDLE_KIND, LONG_KIND].map(|kind| {
        format!("{:.2} in time, {:.2} served", model.in_time_kind(kind), model.served_kind(kind))
    });
    let [tenth, _, all] = model.served_by_size();
    format!(
        "short {}; middle {}; long {}; large {tenth:.2} of {all:.2}",
        kinds[0], kinds[1], kinds[2]
    )
}

// Guards against short jobs of the highest priority that are late or refused as often as
// others at 1.5 times the capacity. Some are late at any load, since their run times exceed
// the estimates.
#[test]
fn short_kind_in_time() {
    let without = loaded_model(1.5, None, SEED);
    println!("by latest start: {}", described(&without));
    let model = loaded_model(1.5, Some(Precedence::Priority), SEED);
    println!("by priority: {}", described(&model));
    assert!(model.served_kind(SHORT_KIND) >= 0.99, "{}", described(&model));
    assert!(model.in_time_kind(SHORT_KIND) >= 0.75, "{}", described(&model));
    assert!(model.in_time_kind(MIDDLE_KIND) >= without.in_time_kind(MIDDLE_KIND));
}

// Guards against long jobs of the lowest priority, and the largest of them, that starve
// in an overload.
#[test]
fn long_kind_served() {
    let model = loaded_model(1.5, Some(Precedence::Priority), SEED);
    let [tenth, _, all] = model.served_by_size();
    // A tenth of the capacity is at least a fifth of what the long jobs need here.
    assert!(all >= 0.2, "{}", described(&model));
    assert!(tenth >= all / 2.0, "{}", described(&model));
}

// Guards against a setting that changes anything while there is free capacity.
#[test]
fn calm_order_unchanged() {
    let without = loaded_model(0.5, None, SEED);
    let with = loaded_model(0.5, Some(Precedence::Priority), SEED);
    assert_eq!(described(&with), described(&without));
    assert_eq!(with.counts(), without.counts());
}

// Guards against a scheduler that keeps the priorities of an earlier catalog.
#[test]
fn priorities_exchanged() {
    let mut model = OverloadModel::with_queues(AGENTS, Some(Precedence::Priority));
    model.set_priorities(2, [2, 0, 1]);
    model.add_load(secs(1), secs(31), (FULL_JOBS_PER_SECOND * 1.5) as u32);
    model.play(secs(34));
    let (long, short) = (model.served_kind(LONG_KIND), model.served_kind(SHORT_KIND));
    assert!(long > short, "{}", described(&model));
}
