//! Measures of processor time, allocations and memory, and counts that are too slow for a test.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use lycheedoor_core::config::Config;
use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;

use super::Row;
use super::objects;
use super::traffic;
use crate::alloc;
use crate::fleet::Fleet;
use crate::fleet::Shape;
use crate::sample;
use crate::sample::Size;

const SESSION_COUNTS: [usize; 4] = [1, 100, 5_000, 50_000];
const GROUP_COUNTS: [usize; 4] = [3, 48, 400, 2_400];
const PROBED_GROUP_COUNTS: [usize; 4] = [3, 12, 48, 192];
const WORKSPACE_COUNTS: [usize; 3] = [128, 256, 512];
const SESSION_GROUP_COUNTS: [usize; 4] = [1, 3, 10, 30];
const RUN_COUNT: usize = 7;
const STATEMENT_COUNT: u64 = 2_000;
const STATEMENT_INTERVAL: Duration = Duration::from_micros(5);

/// The only VM of a cell, with its virtual time and the number of statements sent to it so far.
pub struct SingleVm {
    now: MonoTime,
    vm: Vm,
    next_request: u64,
}

impl SingleVm {
    /// Starts a VM with a configuration of this size and runs it until it serves.
    pub fn new(size: Size) -> Self {
        let mut fleet = Fleet::new(Shape {
            cells: 1,
            vms_in_cell: 1,
            size,
        });
        fleet.run_ms(3_000);
        let (now, vm) = fleet.into_vm(0);
        Self {
            now,
            vm,
            next_request: 0,
        }
    }

    /// Returns a VM for statements of one workspace with a rate too high to limit them.
    pub fn for_statements() -> Self {
        Self::new(Size {
            rate_per_s: 100_000_000,
            ..Size::new(3, 1)
        })
    }

    /// Opens `count` sessions, numbered from 1.
    pub fn open_sessions(&mut self, count: u64) {
        for caller in 1..=count {
            let event = VmEvent::CallerStarted {
                caller: CallerId(caller),
                workspace: sample::workspace_id(0),
                key: Some(sample::key(0)),
                route: sample::route_id(0),
                session_token: None,
            };
            self.handle(event);
        }
    }

    /// Runs one statement of a session from arrival to completion. Returns whether it was answered.
    pub fn run_statement(&mut self, caller: u64) -> bool {
        self.next_request += 1;
        self.now += STATEMENT_INTERVAL;
        self.handle(VmEvent::RequestReceived {
            caller: CallerId(caller),
            request: RequestId(self.next_request),
            idempotency_key: None,
        })
    }

    /// Handles an event, and immediately the resulting answers of members. Returns whether a
    /// statement was answered.
    fn handle(&mut self, event: VmEvent) -> bool {
        let mut events = vec![event];
        let mut answered = false;
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.vm.handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    VmAction::OpenConnection { connection, .. } => {
                        events.push(VmEvent::ConnectionOpened { connection });
                    }
                    VmAction::SendStatement {
                        connection,
                        request,
                        ..
                    } => events.push(VmEvent::TargetAnswered {
                        connection,
                        request,
                        position: Some(Position::new(Term(1), 1)),
                        status: TransactionStatus::Idle,
                        failed: false,
                    }),
                    VmAction::DeliverAnswer { .. } => answered = true,
                    _ => {}
                }
            }
        }
        answered
    }

    fn handle_probe_answer(&mut self, group: usize) {
        let position = Position::new(Term(1), 1);
        let event = VmEvent::MemberAnswered {
            group: sample::group_id(group),
            member: sample::member_id(group, 0),
            state: MemberState {
                role: MemberRole::Primary,
                term: Term(1),
                received: position,
                applied: position,
            },
            command: MemberCommand::Status,
        };
        self.handle(event);
    }
}

/// Returns the median, over `RUN_COUNT` runs of `calls` calls, of the time of a call in
/// nanoseconds.
fn median_ns(calls: u64, mut run: impl FnMut(u64)) -> f64 {
    let mut times: Vec<f64> = (0..RUN_COUNT)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(&mut run);
            start.elapsed().as_nanos() as f64 / calls.max(1) as f64
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUN_COUNT / 2]
}

/// Returns the number of allocations for each statement while this many sessions are open.
pub fn allocations_of_statement(sessions: u64) -> f64 {
    let mut single_vm = SingleVm::for_statements();
    single_vm.open_sessions(sessions);
    (0..STATEMENT_COUNT).for_each(|index| {
        single_vm.run_statement(index % sessions + 1);
    });
    let before = alloc::count();
    let answered =
        (0..STATEMENT_COUNT).filter(|index| single_vm.run_statement(index % sessions + 1));
    let answered = answered.count();
    (alloc::count() - before) as f64 / answered.max(1) as f64
}

/// A measure, and the sizes at which it is taken.
pub(super) struct Measure {
    pub(super) role: &'static str,
    pub(super) name: &'static str,
    pub(super) against: &'static str,
    pub(super) sizes: &'static [usize],
    value: fn(usize) -> f64,
}

pub(super) const MEASURES: [Measure; 8] = [
    Measure {
        role: "request path",
        name: "statement through the whole VM, ns",
        against: "open sessions",
        sizes: &SESSION_COUNTS,
        value: statement_ns,
    },
    Measure {
        role: "request path",
        name: "allocations a statement",
        against: "open sessions",
        sizes: &SESSION_COUNTS,
        value: |sessions| allocations_of_statement(sessions as u64),
    },
    Measure {
        role: "request path",
        name: "memory of idle callers in the core, bytes",
        against: "open sessions",
        sizes: &SESSION_COUNTS,
        value: idle_callers_bytes,
    },
    Measure {
        role: "configuration",
        name: "decoding the object, ns",
        against: "groups, as many routes, 500 workspaces",
        sizes: &GROUP_COUNTS,
        value: decoding_ns,
    },
    Measure {
        role: "failover",
        name: "handling the answer to a probe, ns",
        against: "groups in the cell",
        sizes: &PROBED_GROUP_COUNTS,
        value: probe_ns,
    },
    Measure {
        role: "session",
        name: "signing a token, ns",
        against: "groups in its vector",
        sizes: &SESSION_GROUP_COUNTS,
        value: signing_ns,
    },
    Measure {
        role: "rates",
        name: "skewed, many workspaces, bytes sent a node, 1/s",
        against: "active workspaces",
        sizes: &WORKSPACE_COUNTS,
        value: traffic::skewed_rate_bytes,
    },
    Measure {
        role: "rates",
        name: "spread, many workspaces, bytes sent a node, 1/s",
        against: "active workspaces",
        sizes: &WORKSPACE_COUNTS,
        value: traffic::spread_rate_bytes,
    },
];

pub(super) fn rows() -> Vec<Row> {
    let row = |measure: &Measure| {
        let sizes = measure.sizes.iter();
        let points = sizes.map(|size| (*size as f64, (measure.value)(*size)));
        Row::new(
            measure.role,
            measure.name,
            measure.against,
            points.collect(),
        )
    };
    MEASURES.iter().map(row).collect()
}

fn statement_ns(sessions: usize) -> f64 {
    let mut single_vm = SingleVm::for_statements();
    let sessions = sessions as u64;
    single_vm.open_sessions(sessions);
    median_ns(STATEMENT_COUNT, |index| {
        black_box(single_vm.run_statement(index % sessions + 1));
    })
}

fn idle_callers_bytes(sessions: usize) -> f64 {
    let mut single_vm = SingleVm::for_statements();
    let before = alloc::live_bytes();
    single_vm.open_sessions(sessions as u64);
    (alloc::live_bytes() - before) as f64
}

fn decoding_ns(groups: usize) -> f64 {
    let config = sample::config(1, &Size::new(groups, 500));
    let bytes = serde_json::to_vec(&config).unwrap_or_default();
    median_ns(3, |_| {
        black_box(serde_json::from_slice::<Config>(&bytes).is_ok());
    })
}

fn probe_ns(groups: usize) -> f64 {
    let mut single_vm = SingleVm::new(Size::new(groups, 8));
    median_ns(200, |index| {
        single_vm.handle_probe_answer(index as usize % groups)
    })
}

fn signing_ns(groups: usize) -> f64 {
    let token = objects::token(groups);
    let workspace = sample::workspace_id(0);
    let secrets = objects::secrets();
    median_ns(STATEMENT_COUNT, |_| {
        let signed = secrets
            .as_ref()
            .and_then(|secrets| token.encode(secrets, &workspace).ok());
        black_box(signed);
    })
}
