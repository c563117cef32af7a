//! Runs that outlast the timeouts of those who watch them, while agents are restarted or
//! stand still, backend servers lose answers, carry out calls late or start again, and
//! agents are cut off from some of the schedulers: days in virtual time. Guards against a
//! task that is started elsewhere while it still runs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::schedule_model::{ScheduleModel, job};

const ENTRIES: usize = 2;
const AGENTS: usize = 4;
const STEP: Duration = Duration::from_millis(15);
const DAY: Duration = Duration::from_secs(40);
/// Interval of a backend server's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time until a killed agent runs again.
const RESTART_TIME: Duration = Duration::from_millis(300);
/// Run time of every task, several times its estimate.
const RUN_TIME: Duration = Duration::from_millis(2_600);
/// How long patient callers wait.
const CALLER_WAIT: Duration = Duration::from_millis(3_350);

/// What becomes of calls to a backend server.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CallFault {
    /// They are carried out, and their answers are lost.
    Mute,
    /// They get no answer, and are carried out seconds later.
    Late,
}

/// A day with disruptions that begin at random times.
struct FaultyDay {
    rng: StdRng,
    model: ScheduleModel,
    /// Ends of cuts, by scheduler and agent.
    cuts: BTreeMap<(usize, usize), Instant>,
    /// Faults of the calls to backend servers: share of the calls, and the end.
    call_faults: BTreeMap<usize, (CallFault, f64, Instant)>,
    /// Ends of agents' pauses.
    pauses: BTreeMap<usize, Instant>,
    /// Agents that are down, until when.
    down: BTreeMap<usize, Instant>,
    heartbeats: Vec<Instant>,
    /// When the late calls are carried out, oldest first.
    late_calls: Vec<Instant>,
    jobs: usize,
}

impl FaultyDay {
    fn new(seed: u64) -> FaultyDay {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = ScheduleModel::new(ENTRIES, AGENTS);
        model.run_time = RUN_TIME;
        model.caller_wait = CALLER_WAIT;
        let start = model.now;
        let phase = |rng: &mut StdRng| start + HEARTBEAT_INTERVAL.mul_f64(rng.random());
        let heartbeats = (0..AGENTS).map(|_| phase(&mut rng)).collect();
        FaultyDay {
            rng,
            model,
            cuts: BTreeMap::new(),
            call_faults: BTreeMap::new(),
            pauses: BTreeMap::new(),
            down: BTreeMap::new(),
            heartbeats,
            late_calls: Vec::new(),
            jobs: 0,
        }
    }

    /// Whether something that happens `per_second` times on average happens in this step.
    fn happens(&mut self, per_second: f64) -> bool {
        let share = per_second * STEP.as_secs_f64();
        self.rng.random_bool(share.min(1.0))
    }

    fn span(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(min_ms..max_ms))
    }

    fn begin_faults(&mut self) {
        let now = self.model.now;
        let agent = self.rng.random_range(0..AGENTS);
        if self.happens(0.5) {
            let scheduler = self.rng.random_range(0..=ENTRIES);
            let end = now + self.span(500, 5_000);
            self.cuts.insert((scheduler, agent), end);
            self.model.disconnect(scheduler, agent);
        }
        if self.happens(0.3) {
            let fault = if self.rng.random() { CallFault::Mute } else { CallFault::Late };
            let share = self.rng.random_range(0.2..1.0);
            let end = now + self.span(500, 4_000);
            self.call_faults.insert(agent, (fault, share, end));
        }
        if self.happens(0.25) {
            let end = now + self.span(100, 3_500);
            self.pauses.insert(agent, end);
            self.model.freeze_agent(agent);
        }
        if self.happens(0.25) {
            self.pauses.remove(&agent);
            self.down.insert(agent, now + RESTART_TIME);
            self.model.restart_agent(agent);
            self.model.freeze_agent(agent);
        }
        if self.happens(0.15) {
            match self.rng.random() {
                true => self.model.crash_server(agent),
                false => self.model.restart_server(agent),
            }
        }
    }

    fn end_faults(&mut self) {
        let now = self.model.now;
        self.cuts.retain(|_, end| *end > now);
        self.call_faults.retain(|_, (_, _, end)| *end > now);
        let is_over = |(_, end): &(&usize, &Instant)| **end <= now;
        let thawed: Vec<usize> =
            self.pauses.iter().chain(&self.down).filter(is_over).map(|(agent, _)| *agent).collect();
        self.pauses.retain(|_, end| *end > now);
        self.down.retain(|_, end| *end > now);
        for agent in thawed {
            self.model.thaw_agent(agent);
        }
    }

    /// Connects whatever is not cut off.
    fn connect(&mut self) {
        for agent in (0..AGENTS).filter(|agent| !self.model.is_frozen(*agent)).collect::<Vec<_>>() {
            for scheduler in 0..=ENTRIES {
                if !self.cuts.contains_key(&(scheduler, agent)) {
                    self.model.connect(scheduler, agent);
                }
            }
        }
    }

    /// Carries out the calls in transit.
    fn call_servers(&mut self) {
        for agent in (0..AGENTS).filter(|agent| !self.model.is_frozen(*agent)).collect::<Vec<_>>() {
            let fault = self.call_faults.get(&agent).copied();
            for _ in 0..self.model.calls_in_transit(agent) {
                let fault = fault.filter(|(_, share, _)| self.rng.random_bool(*share));
                match fault.map(|(fault, ..)| fault) {
                    None => self.model.deliver(agent, 0, false),
                    Some(CallFault::Mute) => self.model.deliver(agent, 0, true),
                    Some(CallFault::Late) => self.model.delay(agent, 0),
                }
            }
        }
        while self.late_calls.len() < self.model.delayed_calls() {
            let at = self.model.now + self.span(2_000, 12_000);
            self.late_calls.push(at);
        }
        let due: Vec<usize> = (0..self.late_calls.len())
            .rev()
            .filter(|position| self.late_calls[*position] <= self.model.now)
            .collect();
        for position in due {
            self.late_calls.remove(position);
            self.model.deliver_delayed(position);
        }
    }

    fn step(&mut self) {
        self.end_faults();
        self.begin_faults();
        self.connect();
        if self.happens(4.0) {
            self.jobs += 1;
            let scheduler = self.rng.random_range(0..=ENTRIES);
            let tasks = self.rng.random_range(1..3);
            self.model.submit(scheduler, job(self.jobs, tasks, scheduler > 0));
        }
        for agent in 0..AGENTS {
            if self.heartbeats[agent] <= self.model.now {
                self.heartbeats[agent] += HEARTBEAT_INTERVAL;
                self.model.heartbeat(agent);
            }
        }
        self.call_servers();
        self.model.commit();
        self.model.advance(STEP);
    }
}

/// Plays a day. The model checks at each start that the task runs once at a time.
fn play_day(seed: u64) {
    let mut day = FaultyDay::new(seed);
    let end = day.model.now + DAY;
    while day.model.now < end {
        day.step();
    }
}

#[test]
fn long_runs_single() {
    for seed in 1..=u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_day(seed);
    }
}

// Other days, so that a day of the first ones that is known to fail hides none.
#[test]
fn other_days_single() {
    let first = 1_000;
    for seed in first..first + u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_day(seed);
    }
}

// Further days, for the same reason.
#[test]
fn later_days_single() {
    let first = 1_002;
    for seed in first..first + u64::from(crate::support::case_count(20)) {
        println!("seed {seed}");
        play_day(seed);
    }
}
