//! Overload of a group with a single remaining member: statements must still get most of the
//! capacity of its slots. Guards against spending the slots on new connections and refusals.

mod support;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::Consistency;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::RateRule;
use lycheedoor_pool::TransactionState;
use support::GROUP;
use support::PRIMARY;
use support::PoolHarness;
use support::config;
use support::route;

const SLOTS: usize = 2;
const MAX_QUEUED: usize = 8;
const STATEMENT_MS: u64 = 14;
const CONNECT_MS: u64 = 27;
const WORKSPACES: usize = 8;
const DURATION_S: u64 = 6;

/// Number of statements a second that the slots can serve.
const CAPACITY_PER_S: u64 = SLOTS as u64 * 1_000 / STATEMENT_MS;

#[derive(Clone, Copy)]
enum Job {
    Open(ConnectionId),
    Statement(ConnectionId),
}

/// A member with a fixed number of slots and a bounded queue; it refuses statements while the queue
/// is full.
#[derive(Default)]
struct BusyMember {
    running: Vec<(MonoTime, Job)>,
    queue: VecDeque<Job>,
    queued_links: BTreeSet<ConnectionId>,
}

impl BusyMember {
    fn step(&mut self, harness: &mut PoolHarness) {
        let now = harness.now;
        let (done, running) = self.running.iter().partition(|(end, _)| *end <= now);
        let done: Vec<(MonoTime, Job)> = done;
        self.running = running;
        for (_, job) in done {
            match job {
                Job::Open(link) if harness.links.contains_key(&link) => {
                    harness.links.get_mut(&link).unwrap().is_open = true;
                    harness.event(PoolEvent::LinkReady {
                        link,
                        position: None,
                    });
                }
                Job::Statement(link) if harness.links.contains_key(&link) => {
                    harness.succeed(link, TransactionState::Idle, 1);
                }
                Job::Open(_) | Job::Statement(_) => {}
            }
        }
        let opening = harness
            .links
            .iter()
            .filter(|(_, link)| !link.is_open)
            .map(|(id, _)| *id);
        let opening: Vec<ConnectionId> = opening.collect();
        for link in opening {
            if self.queued_links.insert(link) {
                self.queue.push_back(Job::Open(link));
            }
        }
        while let Some((link, command)) = harness.take_command(PRIMARY) {
            match command {
                MemberCommand::Forward { .. } if self.queue.len() >= MAX_QUEUED => {
                    harness.refuse(link, MemberFault::Busy, TransactionState::Idle);
                }
                MemberCommand::Forward { .. } => self.queue.push_back(Job::Statement(link)),
                _ => harness.succeed(link, TransactionState::Idle, 1),
            }
        }
        while self.running.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            let millis = match job {
                Job::Open(_) => CONNECT_MS,
                Job::Statement(_) => STATEMENT_MS,
            };
            self.running
                .push((now + Duration::from_millis(millis), job));
        }
    }
}

/// Number of statements with a result.
#[derive(Clone, Copy, Debug, Default)]
struct ServedCounts {
    served: u64,
    /// Served within the latency target of the route.
    in_time: u64,
}

/// Sends `load_per_s` statements a second, spread over all workspaces.
fn run_load(load_per_s: u64) -> ServedCounts {
    let mut rules = config(1);
    let rate = RateRule {
        per_s: 10_000,
        burst: 10_000,
    };
    for number in 0..WORKSPACES {
        let workspace = WorkspaceId::from(format!("w{number}").as_str());
        rules.rates.insert(workspace.clone(), rate);
        rules.keys.insert(format!("key-{number}"), workspace);
    }
    let group = GroupRule {
        max_connections: 24,
        sync_replicas: 0,
        cold_per_s: None,
        is_adaptive: false,
    };
    rules.groups.insert(GROUP.into(), group);
    let mut harness = PoolHarness::start(&[], rules);
    let mut member = BusyMember::default();
    let latency_target = route(Consistency::Primary).target_latency;
    let mut counts = ServedCounts::default();
    let mut sent_at = BTreeMap::new();
    let mut idle: BTreeMap<usize, Vec<CallerId>> = BTreeMap::new();
    let mut workspace_of = BTreeMap::new();
    let mut due_us = 0;
    for number in 0.. {
        let end = Duration::from_secs(DURATION_S);
        if harness.now.since(MonoTime::from_millis(1_500)) >= end {
            break;
        }
        harness.advance(5);
        member.step(&mut harness);
        due_us += 5_000 * load_per_s;
        let mut arrivals = 0;
        while due_us >= 1_000_000 {
            due_us -= 1_000_000;
            let workspace = (number * 3 + arrivals) % WORKSPACES;
            arrivals += 1;
            let caller = idle.entry(workspace).or_default().pop().unwrap_or_else(|| {
                let caller =
                    harness.open_session_with_key("primary-db", &format!("key-{workspace}"));
                workspace_of.insert(caller, workspace);
                caller
            });
            harness.query(caller, "WRITE x 1");
            sent_at.insert(caller, harness.now);
        }
        for (caller, reply) in std::mem::take(&mut harness.replies) {
            if matches!(reply, CallerReply::Done { .. }) {
                counts.served += 1;
                counts.in_time += u64::from(harness.now.since(sent_at[&caller]) <= latency_target);
            }
            idle.entry(workspace_of[&caller]).or_default().push(caller);
        }
        harness.other_actions.clear();
    }
    counts
}

#[test]
fn overload_leaves_most_of_the_capacity_to_statements() {
    let served = run_load(CAPACITY_PER_S * 2).served;
    // New connections and refusals may take up to a third of the capacity.
    let min_served = CAPACITY_PER_S * DURATION_S * 2 / 3;
    assert!(
        served >= min_served,
        "{served} statements served, expected at least {min_served}"
    );
}

/// Guards against a queue in which every statement waits until it misses its latency target,
/// although the member could serve some of them in time.
#[test]
fn overload_is_served_in_time_as_far_as_possible() {
    let counts = run_load(CAPACITY_PER_S * 2);
    assert!(counts.in_time * 2 >= counts.served, "{counts:?}");
}

/// Guards against refused or delayed statements while the member has capacity for all of them.
#[test]
fn load_below_the_capacity_is_served() {
    let load = CAPACITY_PER_S * 2 / 3;
    let served = run_load(load).served;
    // Statements of the last tenths of a second are still in progress.
    let min_served = load * DURATION_S * 97 / 100;
    assert!(
        served >= min_served,
        "{served} of {} statements served",
        load * DURATION_S
    );
}
