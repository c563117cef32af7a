//! The ledger: one owner, resent claims, takeovers, expiry.

use assert_matches::assert_matches;
use decisions::control::ControlState;
use model::{
    ClaimOrder, Command, CommandResult, ErrorKind, Failure, JobAnswer, JobKey, LogRecord,
    MemberRecord, NodeRole, OwnerRef, Takeover,
};

struct Book {
    state: ControlState,
}

fn owner(incarnation: u64) -> OwnerRef {
    OwnerRef { entry: "e".into(), incarnation }
}

fn key() -> JobKey {
    JobKey { team: "north".into(), submission: "s".into() }
}

impl Book {
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
        let order = ClaimOrder { key: key(), fingerprint: 7, owner: owner(incarnation) };
        self.apply(Command::Claim { order })
    }

    fn finish(&mut self, kind: ErrorKind) -> CommandResult {
        let answer = JobAnswer::Failed { failure: Failure::new(kind, "x") };
        self.apply(Command::Finish { key: key(), epoch: 1, owner: owner(1), answer })
    }
}

fn claimed_book() -> Book {
    let mut book = Book { state: ControlState::default() };
    book.join("a", NodeRole::Agent, 1);
    book.join("e", NodeRole::Entry, 1);
    assert_matches!(book.claim(1), CommandResult::Claimed { epoch: 1, takeover: Takeover::Fresh });
    book
}

#[test]
fn resent_claim_keeps_takeover() {
    let mut book = claimed_book();
    book.join("e", NodeRole::Entry, 2);
    assert_matches!(book.claim(2), CommandResult::OwnedElsewhere { .. });
    book.apply(Command::FenceInForce { entry: "e".into(), incarnation: 1 });
    let first = book.claim(2);
    assert_matches!(
        &first,
        CommandResult::Claimed { epoch: 2, takeover: Takeover::Collect { memory_lost: false, .. } }
    );
    assert_eq!(book.claim(2), first, "the lost answer is given again");
    book.join("a", NodeRole::Agent, 2);
    assert_matches!(
        book.claim(2),
        CommandResult::Claimed { epoch: 2, takeover: Takeover::Collect { memory_lost: true, .. } }
    );
}

#[test]
fn fenced_owner_gets_nothing() {
    let mut book = claimed_book();
    book.apply(Command::Lapse { node: "e".into(), incarnation: 1 });
    assert_matches!(book.claim(1), CommandResult::OwnerFenced);
    book.apply(Command::FenceInForce { entry: "e".into(), incarnation: 1 });
    assert_matches!(book.claim(2), CommandResult::Claimed { epoch: 2, .. });
    assert_matches!(book.finish(ErrorKind::BackendFailed), CommandResult::Overtaken);
}

#[test]
fn cancelled_stays_cancelled() {
    let mut book = claimed_book();
    book.finish(ErrorKind::CancelledBeforeStart);
    assert_matches!(book.claim(1), CommandResult::Recorded { .. });
    let mut book = claimed_book();
    book.finish(ErrorKind::Overloaded);
    assert_matches!(book.claim(1), CommandResult::Claimed { epoch: 2, takeover: Takeover::Fresh });
}

#[test]
fn old_id_stays_known() {
    let mut book = claimed_book();
    book.finish(ErrorKind::BackendFailed);
    book.apply(Command::Expire { before_ms: 1_000_000 });
    assert_matches!(book.claim(1), CommandResult::Expired);
    assert_eq!(book.state.ledger_size(), (0, 1));
}
