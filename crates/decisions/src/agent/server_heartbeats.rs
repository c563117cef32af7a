//! Decides by heartbeats which life of its backend server an agent follows.
//!
//! Invariants:
//! - a heartbeat of another instance than the current life's ends that life only once
//!   nothing of it can be left: the backend server has refused a call to its instance, its
//!   process has left and ended, or its lease has expired. A heartbeat that no instance here
//!   sent changes nothing;
//! - a leave ends no run by itself: if its acknowledgement is lost, the backend server runs on
//!   for some seconds. Its life goes on, without new starts or leases, until its runs are over;
//! - a later generation of the instance ends no run by itself: calls name only the
//!   instance, so the later life may have accepted them;
//! - a late heartbeat, of an earlier life of the instance or with a lower sequence
//!   number, changes nothing. Both numbers are the sender's, and an odd one may be far
//!   too high; so a lower one is followed after [`LATE_WINDOW`] without a higher one.

use std::time::{Duration, Instant};

use model::{EventLine, LifeId, ServerCall, ServerHeartbeat, life_id};

use super::run_table::{RunStep, RunTable};
use super::server_life::ServerLife;

/// Longest time by which a heartbeat arrives late; several times the interval of
/// heartbeats.
const LATE_WINDOW: Duration = Duration::from_secs(5);

/// Heartbeat of another instance than the current life's.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    heartbeat: ServerHeartbeat,
    /// Number of lease renewals sent before it arrived. If a later one is answered with
    /// lists, the current life's instance is still there.
    since_renewal: u64,
}

impl RunTable {
    /// Handles a heartbeat of the backend server. A late one is ignored. One of another
    /// instance is followed once the current life is over.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &ServerHeartbeat) -> Vec<RunStep> {
        self.record_input(now);
        match &mut self.life {
            None => self.begin_life(now, heartbeat),
            Some(life) if life.instance != heartbeat.instance => self.await_end(now, heartbeat),
            Some(life) if life.generation == heartbeat.generation => {
                if life.has_left {
                    // Sent before the leave, or by a process that ends in any case.
                } else if life.sequence < heartbeat.sequence || is_silent(life, now) {
                    let changed = life.take_heartbeat(now, heartbeat);
                    self.require_reports(changed);
                }
            }
            Some(life) if life.generation < heartbeat.generation || is_silent(life, now) => {
                self.follow_restart(now, heartbeat, "a newer life sent a heartbeat");
            }
            Some(_) => {}
        }
        self.finish(now)
    }

    /// Handles the generation that a reply names. A later one than that of the life that
    /// was called shows that the instance was started again; the answer is of no use then.
    pub fn on_generation(
        &mut self,
        now: Instant,
        call: &ServerCall,
        clock: Option<(Duration, Instant)>,
        generation: Option<u64>,
    ) -> Vec<RunStep> {
        self.record_input(now);
        let Some(life) = self.life.as_ref().filter(|life| life.view.life == call.life) else {
            return Vec::new();
        };
        let Some(generation) = generation.filter(|generation| *generation > life.generation) else {
            return Vec::new();
        };
        let mut view = life.view.clone();
        view.life = life_id(&life.instance, generation);
        view.draining = false;
        let heartbeat = ServerHeartbeat {
            view,
            address: life.address,
            instance: life.instance.clone(),
            generation,
            sequence: 0,
            clock: clock.map(|(clock, _)| clock),
        };
        self.follow_restart(now, &heartbeat, "a newer life answered a call");
        self.finish(now)
    }

    /// Follows the next life of an instance that was started again under its name. Calls
    /// carry only that name, so the new life may have carried out those that were sent
    /// since; its first lists show which runs it has. A start or stop without an answer
    /// may still reach it, so these runs are stopped there before they count as over. A
    /// higher fencing token bars what was sent to the earlier life and is late.
    fn follow_restart(&mut self, now: Instant, heartbeat: &ServerHeartbeat, reason: &str) {
        let Some(mut earlier) = self.life.take() else { return };
        self.log_life_end(&earlier, reason);
        let refused = earlier.take_waiting();
        self.begin_life(now, heartbeat);
        if let Some(life) = &mut self.life {
            life.take_over_runs(now, earlier);
        }
        self.fence += 1;
        self.notify(now, refused);
        for session in self.schedulers.values_mut() {
            session.must_list_runs = true;
            session.needs_report = true;
        }
    }

    /// Starts to track the life of this heartbeat.
    fn begin_life(&mut self, now: Instant, heartbeat: &ServerHeartbeat) {
        self.candidate = None;
        let line = EventLine::new("server_life")
            .with("life", &heartbeat.view.life)
            .with("address", heartbeat.address)
            .with("cpu_milli", heartbeat.view.capacity.cpu_milli);
        self.steps.push(RunStep::Log(line));
        self.life = Some(ServerLife::new(now, heartbeat, &self.limits));
    }

    /// Keeps the heartbeat of another instance, and queries the current one's lists: if
    /// it is gone, the backend server refuses the call.
    fn await_end(&mut self, now: Instant, heartbeat: &ServerHeartbeat) {
        let Some(life) = &mut self.life else { return };
        let known =
            self.candidate.take().filter(|one| one.heartbeat.instance == heartbeat.instance);
        let since_renewal = known.map_or(life.renewals_sent, |known| known.since_renewal);
        self.candidate = Some(Candidate { heartbeat: heartbeat.clone(), since_renewal });
        life.query_lists_at = Some(now);
    }

    /// Handles the leave of the backend server: nothing is started there any more, and all
    /// that runs is stopped. Its life ends once its runs are over.
    pub fn on_leave(&mut self, now: Instant, instance: &LifeId) -> Vec<RunStep> {
        self.record_input(now);
        self.candidate.take_if(|candidate| candidate.heartbeat.instance == *instance);
        if let Some(life) = self.life.as_mut().filter(|life| life.instance == *instance)
            && !life.has_left
        {
            life.has_left = true;
            life.view.draining = true;
            life.query_lists_at = Some(now);
            let refused = life.take_waiting();
            let line = EventLine::new("server_leaves")
                .with("life", &life.view.life)
                .with("runs", life.runs.len())
                .with("listed", life.listed);
            self.steps.push(RunStep::Log(line));
            self.notify(now, refused);
            self.require_reports(true);
        }
        self.finish(now)
    }

    /// Ends the life of a backend server that has left, once its runs are over: all have
    /// ended, or its process has. One that has not listed all may run what an earlier process
    /// of this agent started.
    pub(super) fn end_departed_life(&mut self, now: Instant) {
        let Some(life) = self.life.as_ref().filter(|life| life.has_left) else { return };
        let is_idle = life.runs.is_empty() && self.can_list_runs(now);
        if is_idle || life.is_process_gone() {
            self.end_life(now, "backend server left");
            self.follow_candidate(now);
        }
    }

    /// Starts to track the instance whose heartbeat was kept, if one was; called once
    /// the current life is over.
    pub(super) fn follow_candidate(&mut self, now: Instant) {
        if let Some(candidate) = self.candidate.take() {
            self.begin_life(now, &candidate.heartbeat);
        }
    }

    /// Drops the kept heartbeat if this renewal, which returned lists, was sent after it:
    /// the current life's instance is still there, and only one runs at a time.
    pub(super) fn refute_candidate(&mut self, renewal: u64) {
        let refuted = self.candidate.take_if(|candidate| candidate.since_renewal < renewal);
        if let Some(Candidate { heartbeat, .. }) = refuted {
            let line = EventLine::new("heartbeat_foreign").with("life", &heartbeat.view.life);
            self.steps.push(RunStep::Log(line));
        }
    }
}

/// Whether the life has sent no heartbeat for so long that a lower number can't be that
/// of a late one.
fn is_silent(life: &ServerLife, now: Instant) -> bool {
    life.heartbeat_at + LATE_WINDOW <= now
}
