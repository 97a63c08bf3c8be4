//! What the pool counts as an operation in its usage reports.

mod support;

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;
use lycheedoor_pool::WriteOutcome;
use lycheedoor_pool::usage_report::UsageRules;
use support::PRIMARY;
use support::PoolHarness;

/// A pool that holds the duty of reporting.
fn reporting() -> PoolHarness {
    let mut harness = PoolHarness::start_reporting_usage(UsageRules {
        window: Duration::from_secs(30),
        deadline: Duration::from_secs(20),
        lease: Duration::from_secs(2),
    });
    // The first window is the one in which the process started.
    harness.pool.set_wall_time(harness.now, 3_005_000_000);
    harness.advance(4_000);
    let claim = harness.take_usage_write().expect("the VM claims the duty");
    assert_eq!(claim, 0, "nothing is fixed by the claim");
    harness
}

impl PoolHarness {
    /// Lets the write of the usage record take effect; returns the sum of the counts in it.
    fn take_usage_write(&mut self) -> Option<u64> {
        let is_write = |action: &PoolAction| match action {
            PoolAction::WriteRecord {
                record: FleetRecord::Usage(record),
                ..
            } => {
                let counts = record.unsent.iter().flat_map(|w| w.counts.values());
                Some(counts.sum())
            }
            _ => None,
        };
        let sum = self.other_actions.iter().find_map(is_write)?;
        self.other_actions.clear();
        let name = "usage".to_owned();
        let outcome = WriteOutcome::Written(7.into());
        self.event(PoolEvent::RecordWritten { name, outcome });
        Some(sum)
    }

    /// Returns the operations that the report of the first window contains.
    fn reported(mut self) -> u64 {
        self.other_actions.clear();
        self.advance(40_000);
        self.take_usage_write().expect("the window is fixed")
    }

    /// Returns the connection on which a write was sent, and answers samples of the primary's
    /// position.
    fn take_write(&mut self) -> ConnectionId {
        for _ in 0..50 {
            self.accept_links();
            match self.take_command(PRIMARY) {
                Some((link, MemberCommand::Forward { .. })) => return link,
                Some((link, MemberCommand::Begin { .. })) => {
                    self.succeed(link, TransactionState::Open, 5);
                }
                Some((link, _)) => self.succeed(link, TransactionState::Idle, 5),
                None => self.advance(10),
            }
        }
        panic!("no write is sent");
    }

    fn run(&mut self, caller: CallerId, text: &str, state: TransactionState) {
        self.query(caller, text);
        self.accept_links();
        while let Some((link, command)) = self.take_command(PRIMARY) {
            let state = match command {
                MemberCommand::Rollback => TransactionState::Idle,
                MemberCommand::Begin { .. } => TransactionState::Open,
                _ => state,
            };
            self.succeed(link, state, 5);
        }
    }
}

/// Guards against counting each statement of a transaction, or those that the pool itself adds.
#[test]
fn transaction_and_single_statements_count_once_each() {
    let mut harness = reporting();
    let caller = harness.open_session("primary-db");
    harness.run(caller, "READ x", TransactionState::Open);
    harness.query(caller, "BEGIN");
    harness.run(caller, "WRITE x 1", TransactionState::Open);
    harness.run(caller, "WRITE y 1", TransactionState::Open);
    harness.run(caller, "COMMIT", TransactionState::Idle);
    harness.run(caller, "WRITE x 2", TransactionState::Idle);
    assert_eq!(harness.reported(), 3);
}

/// Guards against counting what a member refused to run, and against not counting what has most
/// likely begun although its answer is lost.
#[test]
fn refused_statements_do_not_count_and_lost_answers_do() {
    let mut harness = reporting();
    let caller = harness.open_session("primary-db");
    harness.query(caller, "WRITE x 1");
    let link = harness.take_write();
    harness.refuse(link, MemberFault::Busy, TransactionState::Idle);
    harness.advance(100);
    let link = harness.take_write();
    harness.event(PoolEvent::LinkClosed { link });
    assert_eq!(harness.reported(), 1);
}
