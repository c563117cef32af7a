//! Claims in the ledger: at most one owner of a submission, idempotent resends,
//! takeover from a fenced owner, and expiry of recorded answers. With two owners at
//! a time, or a claim after the answer was recorded, the tasks of a job can run twice.

use assert_matches::assert_matches;
use decisions::control::ControlState;
use model::{
    ClaimRequest, Command, CommandResult, ErrorKind, Failure, JobAnswer, JobKey, LogRecord,
    MemberRecord, NodeRole, OwnerRef, Takeover,
};

/// Control state with helpers that apply one command each.
struct LedgerFixture {
    state: ControlState,
}

fn owner(incarnation: u64) -> OwnerRef {
    OwnerRef { entry: "e".into(), incarnation }
}

fn key() -> JobKey {
    JobKey { team: "north".into(), submission: "s".into() }
}

impl LedgerFixture {
    fn apply(&mut self, command: Command) -> CommandResult {
        let index = self.state.versions().applied + 1;
        self.state.apply(&LogRecord { index, term: 1, at_ms: index, command })
    }

    fn join(&mut self, node: &str, role: NodeRole, incarnation: u64) {
        let address = ([127, 0, 0, 1], 1).into();
        let member =
            MemberRecord { node: node.into(), role, incarnation, address, domain: "d".into() };
        self.apply(Command::Join { member });
    }

    fn claim(&mut self, incarnation: u64) -> CommandResult {
        let order = ClaimRequest { key: key(), fingerprint: 7, owner: owner(incarnation) };
        self.apply(Command::Claim { order })
    }

    fn finish(&mut self, kind: ErrorKind) -> CommandResult {
        let answer = JobAnswer::Failed { failure: Failure::new(kind, "x") };
        self.apply(Command::Finish { key: key(), epoch: 1, owner: owner(1), answer })
    }
}

/// A ledger whose one submission is claimed by incarnation 1 of entry `e`.
fn claimed_ledger() -> LedgerFixture {
    let mut ledger = LedgerFixture { state: ControlState::default() };
    ledger.join("a", NodeRole::Agent, 1);
    ledger.join("e", NodeRole::Entry, 1);
    assert_matches!(
        ledger.claim(1),
        CommandResult::Claimed { epoch: 1, takeover: Takeover::Fresh }
    );
    ledger
}

#[test]
fn resent_claim_keeps_takeover() {
    let mut ledger = claimed_ledger();
    ledger.join("e", NodeRole::Entry, 2);
    assert_matches!(ledger.claim(2), CommandResult::OwnedElsewhere { .. });
    ledger.apply(Command::FenceInForce { entry: "e".into(), incarnation: 1 });
    let first = ledger.claim(2);
    assert_matches!(
        &first,
        CommandResult::Claimed { epoch: 2, takeover: Takeover::Collect { memory_lost: false, .. } }
    );
    assert_eq!(ledger.claim(2), first, "a resent claim gets the same result");
    // The agent restarts and no longer knows which tasks it started.
    ledger.join("a", NodeRole::Agent, 2);
    assert_matches!(
        ledger.claim(2),
        CommandResult::Claimed { epoch: 2, takeover: Takeover::Collect { memory_lost: true, .. } }
    );
}

#[test]
fn fenced_owner_rejected() {
    let mut ledger = claimed_ledger();
    ledger.apply(Command::ExpireMember { node: "e".into(), incarnation: 1 });
    assert_matches!(ledger.claim(1), CommandResult::OwnerFenced);
    ledger.apply(Command::FenceInForce { entry: "e".into(), incarnation: 1 });
    assert_matches!(ledger.claim(2), CommandResult::Claimed { epoch: 2, .. });
    assert_matches!(ledger.finish(ErrorKind::BackendFailed), CommandResult::Superseded);
}

#[test]
fn cancelled_stays_cancelled() {
    let mut ledger = claimed_ledger();
    ledger.finish(ErrorKind::CancelledBeforeStart);
    assert_matches!(ledger.claim(1), CommandResult::Recorded { .. });
    // A job that was refused, and not cancelled, may be claimed again.
    let mut ledger = claimed_ledger();
    ledger.finish(ErrorKind::Overloaded);
    assert_matches!(
        ledger.claim(1),
        CommandResult::Claimed { epoch: 2, takeover: Takeover::Fresh }
    );
}

#[test]
fn expired_id_remembered() {
    let mut ledger = claimed_ledger();
    ledger.finish(ErrorKind::BackendFailed);
    ledger.apply(Command::Expire { before_ms: 1_000_000 });
    assert_matches!(ledger.claim(1), CommandResult::Expired);
    // No recorded submission, one expired id.
    assert_eq!(ledger.state.ledger_size(), (0, 1));
}
