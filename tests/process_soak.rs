//! The queued-job path as real processes, on real sockets and disks: callers, operators and
//! backend servers as the platform has them, misbehaving clients beside them, and faults in
//! series that overlap. Judged by the
//! platform's rules. `CACTUSWING_SOAK_SECONDS` sets the length of each run,
//! `CACTUSWING_SOAK_SEEDS` the seeds (`3` or `3..9`), `CACTUSWING_BINARY` the program;
//! `CACTUSWING_SOAK_FAULTS=all` adds the disruptions that KNOWN-RED.txt lists, `dense` kills
//! agents for a short time around entries that are stopped or killed, `all,dense` is both.
//! `CACTUSWING_SOAK_CALLERS` sets the number of best-effort callers, whose jobs are then
//! smaller and longer, so that an agent has many at once.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;
use standin::{LeaseFault, LeaseRun, LeaseServer};

use crate::deployed_group::{DeployedGroup, RoleHost};
use crate::soak_callers::{ActorContext, HOST, MAIN_PREFIX, SoakCaller};
use crate::soak_history::SharedHistory;
use crate::soak_operators::{PlannedConfig, SoakOperator};

const CONTROLS: usize = 3;
const ENTRIES: usize = 3;
const AGENTS: usize = 8;
const CPU_MILLI: u64 = 16_000;
const BEST_EFFORT_CALLERS: u64 = 10;
const STORED_CALLERS: u64 = 3;
const ROUTE_CALLERS: u64 = 2;
/// Length of a run in the normal test run.
const SHORT_RUN: Duration = Duration::from_secs(12);
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time for the agents to find all entries.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// `grace_s`: SIGKILL follows SIGTERM after this time.
const GRACE: Duration = Duration::from_secs(6);
/// `recover_s`, which the configuration may take to come back.
const RECOVER_LIMIT: Duration = Duration::from_secs(12);
/// `finish_s`, after which jobs are asked for.
const FINISH_TIME: Duration = Duration::from_secs(14);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Misbehaving clients of each entry, and the bodies that they announce.
const CROWD_SIZE: usize = 20;
const CROWD_BODY_BYTES: usize = 262_144;
const CROWD_JOB: &str = "00000000000000aa";
const CROWD_TIMEOUT: Duration = Duration::from_millis(200);

/// One run of the soak.
#[derive(Debug, Clone, Copy)]
struct SoakPlan {
    seed: u64,
    length: Duration,
    /// Whether agents stand still, servers come back under their ids while orders are late,
    /// and callers send again at once, also when their entry has died with the agent that kept
    /// the claim. KNOWN-RED.txt lists these.
    known_red: bool,
    /// Whether the faults are those that meet claims: stopped entries and agents that come back.
    dense: bool,
    /// Number of best-effort callers with small jobs, in place of the usual ones.
    callers: Option<u64>,
}

/// What is to be done to a process later.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Repair {
    Start,
    Continue,
    Kill,
    /// The process was told to end: it starts again once it has, and is killed at the limit.
    AwaitEnd,
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill(RoleHost),
    KillAllControls,
    KillEntryAndAgents,
    /// Agents end while an entry is stopped, which goes on or ends later.
    StopEntryKillAgents,
    Freeze(RoleHost),
    Terminate(RoleHost),
    Hangup(RoleHost),
    CrashServer {
        keeps_id: bool,
    },
    DisturbServer(LeaseFault),
}

/// The processes and servers of a run, and the faults that it has in hand.
struct SoakRun {
    plan: SoakPlan,
    rng: StdRng,
    group: DeployedGroup,
    servers: Vec<LeaseServer>,
    /// Servers that have crashed, and when the next life starts, under which id.
    crashed: Vec<(usize, Instant, String)>,
    /// Runs of the lives that are over.
    past_runs: Vec<LeaseRun>,
    repairs: Vec<(Instant, RoleHost, Repair)>,
    context: ActorContext,
    lives: usize,
    /// Connections of misbehaving clients, whose requests stop halfway.
    crowd: Vec<TcpStream>,
}

impl SoakRun {
    fn start(plan: SoakPlan) -> SoakRun {
        let group = DeployedGroup::start(CONTROLS, ENTRIES, AGENTS);
        let context = ActorContext {
            history: SharedHistory::new(),
            fronts: (0..ENTRIES).map(|entry| group.front(entry)).collect(),
            stopped: Arc::new(AtomicBool::new(false)),
            resends_at_once: plan.known_red,
            has_small_jobs: plan.callers.is_some(),
            breaks_at_stopped: plan.dense,
        };
        let start = |agent| {
            let shape = group.server_shape(agent, format!("i-{agent:04x}"), CPU_MILLI);
            LeaseServer::start(shape).expect("the address is free")
        };
        let servers = (0..AGENTS).map(start).collect();
        SoakRun {
            plan,
            rng: StdRng::seed_from_u64(plan.seed),
            group,
            servers,
            crashed: Vec::new(),
            past_runs: Vec::new(),
            repairs: Vec::new(),
            context,
            lives: 0,
            crowd: Vec::new(),
        }
    }

    /// Opens connections to each entry whose requests stop short of the end of their body.
    fn open_crowd(&mut self) {
        let body = vec![b' '; CROWD_BODY_BYTES - 1];
        let head = format!(
            "POST {MAIN_PREFIX}{CROWD_JOB} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: \
             {CROWD_BODY_BYTES}\r\n\r\n"
        );
        for entry in 0..ENTRIES {
            let front = self.group.front(entry);
            for _client in 0..CROWD_SIZE {
                // An entry that is down, or full, refuses: the crowd is smaller then.
                let Ok(mut stream) = TcpStream::connect_timeout(&front, CROWD_TIMEOUT) else {
                    continue;
                };
                let _set = stream.set_write_timeout(Some(CROWD_TIMEOUT));
                let _sent =
                    stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&body));
                self.crowd.push(stream);
            }
        }
    }

    fn disturb(&self, host: RoleHost, what: &'static str) {
        self.context.history.lock().disturb(host, what);
    }

    fn is_in_repair(&self, host: RoleHost) -> bool {
        self.repairs.iter().any(|(_, known, _)| *known == host)
    }

    fn draw_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    fn draw_host(&mut self) -> RoleHost {
        match self.rng.random_range(0..10) {
            0..4 => RoleHost::Entry(self.rng.random_range(0..ENTRIES)),
            4..8 => RoleHost::Agent(self.rng.random_range(0..AGENTS)),
            _ => RoleHost::Control(self.rng.random_range(0..CONTROLS)),
        }
    }

    fn draw_fault(&mut self) -> Fault {
        let slow = LeaseFault::Slow(self.draw_ms(100, 1_500));
        let host = self.draw_host();
        match self.rng.random_range(0..24) {
            0..5 => Fault::Kill(host),
            5 => Fault::KillAllControls,
            6..8 => Fault::KillEntryAndAgents,
            8..13 => Fault::Freeze(host),
            13..16 => Fault::Terminate(host),
            16 => Fault::Hangup(host),
            17..20 => Fault::CrashServer { keeps_id: self.rng.random_bool(0.5) },
            20 => Fault::DisturbServer(slow),
            21 => Fault::DisturbServer(LeaseFault::Silent),
            _ => Fault::DisturbServer(LeaseFault::Late),
        }
    }

    fn draw_dense_fault(&mut self) -> Fault {
        match self.rng.random_range(0..16) {
            0..7 => Fault::StopEntryKillAgents,
            7..9 => Fault::KillEntryAndAgents,
            9..13 => Fault::Kill(RoleHost::Agent(self.rng.random_range(0..AGENTS))),
            13 => Fault::Kill(RoleHost::Entry(self.rng.random_range(0..ENTRIES))),
            14 => Fault::Freeze(RoleHost::Entry(self.rng.random_range(0..ENTRIES))),
            _ => Fault::Freeze(RoleHost::Agent(self.rng.random_range(0..AGENTS))),
        }
    }

    /// How long a host that was killed is down.
    fn draw_down(&mut self) -> Duration {
        if self.plan.dense { self.draw_ms(100, 500) } else { self.draw_ms(50, 1_500) }
    }

    fn kill(&mut self, host: RoleHost, down: Duration) {
        if self.repairs.iter().any(|(_, known, what)| *known == host && *what == Repair::Start) {
            return;
        }
        self.disturb(host, "kill");
        self.group.kill(host);
        self.repairs.retain(|(_, known, _)| *known != host);
        self.repairs.push((Instant::now() + down, host, Repair::Start));
    }

    /// Kills these hosts one right after another; they are down for the same time.
    fn kill_together(&mut self, hosts: impl IntoIterator<Item = RoleHost>, down: Duration) {
        for host in hosts {
            self.kill(host, down);
        }
    }

    fn apply(&mut self, fault: Fault) {
        let down = self.draw_down();
        match fault {
            Fault::Kill(host) => self.kill(host, down),
            Fault::KillAllControls => {
                self.kill_together((0..CONTROLS).map(RoleHost::Control), down.min(GRACE / 8));
            }
            Fault::KillEntryAndAgents => {
                let entry = RoleHost::Entry(self.rng.random_range(0..ENTRIES));
                let first = self.rng.random_range(0..2);
                let agents = (first..AGENTS).step_by(2).map(RoleHost::Agent);
                self.kill_together([entry].into_iter().chain(agents), down);
            }
            Fault::StopEntryKillAgents => {
                let entry = RoleHost::Entry(self.rng.random_range(0..ENTRIES));
                self.apply(Fault::Freeze(entry));
                for (_, _, repair) in self.repairs.iter_mut().filter(|(_, host, _)| *host == entry)
                {
                    if *repair == Repair::Continue && self.rng.random_bool(0.4) {
                        *repair = Repair::Kill;
                    }
                }
                for _agent in 0..self.rng.random_range(1..4) {
                    let agent = RoleHost::Agent(self.rng.random_range(0..AGENTS));
                    let at = Instant::now() + self.draw_ms(0, 400);
                    if !self.is_in_repair(agent) {
                        self.repairs.push((at, agent, Repair::Kill));
                    }
                }
            }
            Fault::Freeze(RoleHost::Agent(_)) if !self.plan.known_red => {}
            Fault::Freeze(host) if !self.is_in_repair(host) => {
                let longest = if self.plan.dense { 3_000 } else { 5_000 };
                let until = Instant::now() + self.draw_ms(300, longest);
                self.disturb(host, "stop");
                self.group.signal(host, Signal::STOP);
                self.repairs.push((until, host, Repair::Continue));
            }
            Fault::Terminate(host) if !self.is_in_repair(host) => {
                self.disturb(host, "term");
                self.group.signal(host, Signal::TERM);
                self.repairs.push((Instant::now() + GRACE, host, Repair::AwaitEnd));
            }
            Fault::Hangup(host) if !self.is_in_repair(host) => {
                self.disturb(host, "hup");
                self.group.signal(host, Signal::HUP);
            }
            Fault::Freeze(_) | Fault::Terminate(_) | Fault::Hangup(_) => {}
            Fault::CrashServer { keeps_id } => self.crash_server(keeps_id && self.plan.known_red),
            Fault::DisturbServer(fault) => {
                let position = self.rng.random_range(0..AGENTS);
                let until = Instant::now() + self.draw_ms(500, 5_000);
                self.servers[position].set_fault(fault, until);
                let id = self.servers[position].shape().id.clone();
                self.context.history.lock().note(format!("server {id} {fault:?}"));
            }
        }
    }

    fn crash_server(&mut self, keeps_id: bool) {
        let position = self.rng.random_range(0..AGENTS);
        if self.crashed.iter().any(|(known, ..)| *known == position) {
            return;
        }
        let server = &self.servers[position];
        let old = server.shape().id.clone();
        server.crash();
        self.past_runs.extend(server.runs());
        self.lives += 1;
        let id = if keeps_id { old.clone() } else { format!("i-{position:04x}-{}", self.lives) };
        self.context.history.lock().note(format!("server {old} crashes, {id} follows"));
        let back = Instant::now() + self.draw_ms(50, 2_500);
        self.crashed.push((position, back, id));
    }

    /// Starts and wakes what is due.
    fn repair(&mut self, now: Instant) {
        for (due, host, repair) in std::mem::take(&mut self.repairs) {
            let is_due = due <= now;
            match repair {
                Repair::Start if is_due => {
                    self.disturb(host, "start");
                    self.group.restart(host);
                }
                Repair::Continue if is_due => {
                    self.group.signal(host, Signal::CONT);
                    self.disturb(host, "continue");
                }
                Repair::Kill if is_due => {
                    let down = self.draw_down();
                    self.kill(host, down);
                }
                Repair::AwaitEnd if self.group.has_ended(host) => {
                    self.kill(host, POLL_INTERVAL * 5)
                }
                Repair::AwaitEnd if is_due => self.kill(host, POLL_INTERVAL * 5),
                Repair::Start | Repair::Continue | Repair::Kill | Repair::AwaitEnd => {
                    self.repairs.push((due, host, repair));
                }
            }
        }
        for (position, due, id) in std::mem::take(&mut self.crashed) {
            let shape = self.group.server_shape(position, id.clone(), CPU_MILLI);
            match (due <= now).then(|| LeaseServer::start(shape)) {
                Some(Ok(server)) => {
                    self.servers[position] = server;
                    self.context.history.lock().note(format!("server {id} starts"));
                }
                // The port of the old life may be taken for a moment.
                Some(Err(_)) | None => self.crashed.push((position, due, id)),
            }
        }
    }

    /// Notes processes that ended although nobody told them to.
    fn watch_ends(&mut self) {
        let controls = (0..CONTROLS).map(RoleHost::Control);
        let hosts = controls.chain((0..ENTRIES).map(RoleHost::Entry));
        for host in hosts.chain((0..AGENTS).map(RoleHost::Agent)) {
            if !self.is_in_repair(host) && self.group.has_ended(host) {
                self.context.history.lock().find(format!("FAULT: {host:?} ended by itself"));
                self.kill(host, POLL_INTERVAL);
            }
        }
    }

    /// Faults, one after another, until the time is over; then all is repaired.
    fn run_faults(&mut self) {
        self.open_crowd();
        let end = Instant::now() + self.plan.length;
        let mut next = Instant::now();
        while Instant::now() < end || !self.repairs.is_empty() || !self.crashed.is_empty() {
            let now = Instant::now();
            if next <= now && now < end {
                let fault =
                    if self.plan.dense { self.draw_dense_fault() } else { self.draw_fault() };
                self.apply(fault);
                next = now + self.draw_ms(50, 900);
            }
            self.repair(now);
            self.watch_ends();
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn all_runs(&self) -> Vec<LeaseRun> {
        let runs = self.servers.iter().flat_map(LeaseServer::runs);
        self.past_runs.iter().cloned().chain(runs).collect()
    }
}

impl Drop for SoakRun {
    fn drop(&mut self) {
        self.servers.iter().for_each(LeaseServer::crash);
    }
}

fn operator(run: &SoakRun, planned: &Arc<Mutex<PlannedConfig>>, seed: u64) -> SoakOperator {
    let controls = (0..CONTROLS).map(|number| run.group.control_address(RoleHost::Control(number)));
    SoakOperator {
        context: run.context.clone(),
        controls: controls.collect(),
        planned: Arc::clone(planned),
        rng: StdRng::seed_from_u64(seed),
    }
}

fn wait_until(limit: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_met() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    false
}

/// Runs the soak; returns the rules that were broken.
fn run_soak(plan: SoakPlan) -> Vec<String> {
    let mut run = SoakRun::start(plan);
    let planned = Arc::new(Mutex::new(PlannedConfig::new()));
    let mut first = operator(&run, &planned, plan.seed);
    assert!(wait_until(START_LIMIT, || first.send_planned()), "the first configuration is stored");
    assert!(wait_until(START_LIMIT, || run.group.is_ready()), "the entries become ready");
    std::thread::sleep(SETTLE_TIME);

    let mut actors = Vec::new();
    let mut seeds = (plan.seed * 1_000..).skip(1);
    let mut next_seed = || seeds.next().unwrap_or_default();
    let best_effort = plan.callers.unwrap_or(BEST_EFFORT_CALLERS);
    for number in 0..best_effort + STORED_CALLERS {
        let caller = SoakCaller::new(run.context.clone(), next_seed());
        actors.push(std::thread::spawn(move || match number < best_effort {
            true => caller.send_best_effort(),
            false => caller.send_stored(),
        }));
    }
    for _operator in 0..2 {
        let operator = operator(&run, &planned, next_seed());
        actors.push(std::thread::spawn(move || operator.run_changes()));
    }
    let reader = operator(&run, &planned, next_seed());
    actors.push(std::thread::spawn(move || reader.run_reads()));
    for _caller in 0..ROUTE_CALLERS {
        let (caller, seed) = (operator(&run, &planned, 0), next_seed());
        actors.push(std::thread::spawn(move || caller.run_route_calls(seed)));
    }

    run.run_faults();
    first.make_change();
    run.apply(Fault::KillAllControls);
    run.run_repairs();
    read_at_all(&run, &mut first);
    run.context.stopped.store(true, Ordering::Release);
    for actor in actors {
        actor.join().expect("the actor ends");
    }
    std::thread::sleep(FINISH_TIME);
    read_at_all(&run, &mut first);
    ask_for_jobs(&run);
    let runs = run.all_runs();
    let broken = run.context.history.lock().broken_rules(&runs);
    println!("seed={} {}", plan.seed, run.context.history.lock().figures(&runs));
    if !broken.is_empty() {
        run.group.keeps_folder = true;
        println!("logs: {}", run.group.folder().display());
    }
    broken
}

/// Reads the configuration at every control host, each of which has to answer.
fn read_at_all(run: &SoakRun, operator: &mut SoakOperator) {
    for control in 0..CONTROLS {
        if !wait_until(RECOVER_LIMIT, || operator.read_config(control)) {
            let finding = format!("CONFIG doesn't come: control-{control}");
            run.context.history.lock().find(finding);
        }
    }
}

impl SoakRun {
    fn run_repairs(&mut self) {
        while !self.repairs.is_empty() {
            self.repair(Instant::now());
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Asks for every accepted job that nobody cancelled: it has to be known.
fn ask_for_jobs(run: &SoakRun) {
    let accepted: Vec<String> = {
        let history = run.context.history.lock();
        let jobs = history.jobs.iter();
        let kept = jobs.filter(|(_, job)| job.accepted.is_some() && job.cancel_sent.is_none());
        kept.map(|(id, _)| id.clone()).collect()
    };
    let mut caller = SoakCaller::new(run.context.clone(), run.plan.seed);
    for id in accepted {
        let mut shown = None;
        wait_until(RECOVER_LIMIT, || {
            shown = caller.look(&id);
            shown.as_ref().is_some_and(|(status, _)| *status < 500)
        });
        let is_completed = shown.as_ref().is_some_and(|(_, state)| state == "completed");
        if !is_completed {
            run.context.history.lock().find(format!("LOST: {id} in the end {shown:?}"));
        }
    }
}

/// The seeds that the variable names: one, or a range.
fn requested_seeds() -> std::ops::Range<u64> {
    let text = std::env::var("CACTUSWING_SOAK_SEEDS").unwrap_or_else(|_| "1".to_owned());
    let (first, end) = text.split_once("..").unwrap_or((&text, ""));
    let first = first.parse().expect("CACTUSWING_SOAK_SEEDS is N or N..M");
    first..end.parse().unwrap_or(first + 1)
}

// Guards against two runs of one task at once, a configuration that is handled late, and work
// that is lost, with real processes.
#[test]
fn rules_hold() {
    let seconds = std::env::var("CACTUSWING_SOAK_SECONDS").ok();
    let seconds = seconds.and_then(|text| text.parse().ok());
    let length = seconds.map_or(SHORT_RUN, Duration::from_secs);
    let faults = std::env::var("CACTUSWING_SOAK_FAULTS").unwrap_or_default();
    let has = |name: &str| faults.split(',').any(|word| word == name);
    let (known_red, dense) = (has("all"), has("dense"));
    let callers = std::env::var("CACTUSWING_SOAK_CALLERS").ok();
    let callers = callers.map(|text| text.parse().expect("CACTUSWING_SOAK_CALLERS is a number"));
    let mut broken_seeds = Vec::new();
    for seed in requested_seeds() {
        let broken = run_soak(SoakPlan { seed, length, known_red, dense, callers });
        for rule in &broken {
            println!("seed={seed} {rule}");
        }
        if !broken.is_empty() {
            broken_seeds.push(seed);
        }
    }
    assert!(broken_seeds.is_empty(), "rules were broken on the seeds {broken_seeds:?}");
}
