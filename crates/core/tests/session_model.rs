//! Checks read-your-writes in a simulation with lagging replicas, sessions that move between VMs
//! and term changes, and measures the share of reads that replicas serve.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::session::MemberPlacement;
use lycheedoor_core::session::ReadChoice;
use lycheedoor_core::session::ReadQuery;
use lycheedoor_core::session::ReplicaSelector;
use lycheedoor_core::session::SelectorEvent;
use lycheedoor_core::session::SessionSecrets;
use lycheedoor_core::session::SessionToken;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::session::Trust;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::SessionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Reason;
use lycheedoor_core::types::Term;
use lycheedoor_core::types::WorkspaceId;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MEMBER_COUNT: usize = 3;
const VM_COUNT: usize = 4;
const SESSION_COUNT: usize = 40;
const STEP_DURATION: Duration = Duration::from_micros(500);
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Clone, Default)]
struct Member {
    log: Vec<Position>,
    applied: usize,
    term: Term,
    stalled_steps: u32,
}

impl Member {
    fn position(&self) -> Position {
        self.applied
            .checked_sub(1)
            .map_or_else(Position::default, |i| self.log[i])
    }
}

struct Session {
    token: Option<String>,
    last_write: Option<Position>,
}

struct Model {
    rng: ChaCha8Rng,
    now: MonoTime,
    term: Term,
    primary: usize,
    members: Vec<Member>,
    vms: Vec<ReplicaSelector>,
    /// Term changes that a VM has not been notified of yet: when it is, and the VM.
    pending_term_changes: Vec<(MonoTime, usize)>,
    sessions: Vec<Session>,
    secrets: SessionSecrets,
    reads: u32,
    replica_reads: u32,
    oracle_reads: u32,
    waits: u32,
    /// When each log entry was committed.
    committed: BTreeMap<Position, MonoTime>,
    /// Reads of callers without a token that replicas served within the maximum age of the route.
    reads_within_max_staleness: u32,
    /// Reads that wait for a replica: VM, session and start of the wait.
    waiting: Vec<(usize, usize, MonoTime)>,
    /// When each VM last probed the members because no replica had caught up.
    last_probe_at: [MonoTime; VM_COUNT],
}

fn group() -> GroupId {
    GroupId::from("g")
}

fn member(index: usize) -> MemberId {
    MemberId::from(["a", "b", "c"][index])
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: MonoTime::from_millis(1),
            term: Term(1),
            primary: 0,
            members: vec![
                Member {
                    term: Term(1),
                    ..Member::default()
                };
                MEMBER_COUNT
            ],
            vms: vec![ReplicaSelector::new(); VM_COUNT],
            pending_term_changes: (0..VM_COUNT).map(|vm| (MonoTime::ZERO, vm)).collect(),
            sessions: (0..SESSION_COUNT)
                .map(|_| Session {
                    token: None,
                    last_write: None,
                })
                .collect(),
            secrets: SessionSecrets::from_hex(&["07".repeat(32)]).unwrap(),
            reads: 0,
            replica_reads: 0,
            oracle_reads: 0,
            waits: 0,
            committed: BTreeMap::new(),
            reads_within_max_staleness: 0,
            waiting: Vec::new(),
            last_probe_at: [MonoTime::ZERO; VM_COUNT],
        };
        for vm in &mut model.vms {
            for index in 0..MEMBER_COUNT {
                let (group, member, place) = (group(), member(index), MemberPlacement::default());
                vm.handle(
                    model.now,
                    &SelectorEvent::MemberConfigured {
                        group,
                        member,
                        place,
                    },
                );
            }
        }
        model
    }

    fn step(&mut self) {
        self.now += STEP_DURATION;
        self.replicate();
        self.deliver_term_changes();
        if self.now.as_micros().is_multiple_of(100_000) {
            (0..VM_COUNT).for_each(|vm| (0..MEMBER_COUNT).for_each(|m| self.observe(vm, m, true)));
        }
        for vm in 0..VM_COUNT {
            if self.last_probe_at[vm] + STEP_DURATION == self.now {
                (0..MEMBER_COUNT).for_each(|m| self.observe(vm, m, true));
            }
        }
        for (vm, session, since) in std::mem::take(&mut self.waiting) {
            self.run_read(vm, session, since);
        }
        for _ in 0..2 {
            let (vm, session) = (
                self.rng.random_range(0..VM_COUNT),
                self.rng.random_range(0..SESSION_COUNT),
            );
            match self.rng.random_range(0..10) {
                0 => self.write(vm, session),
                _ => self.read(vm, session),
            }
        }
        let vm = self.rng.random_range(0..VM_COUNT);
        self.read_within_max_staleness(vm);
    }

    fn replicate(&mut self) {
        let source = self.members[self.primary].log.clone();
        for index in (0..MEMBER_COUNT).filter(|index| *index != self.primary) {
            let stall = self.rng.random_range(0..400) == 0;
            let length = self.rng.random_range(2..80);
            let received = self.rng.random_range(0..3) > 0;
            let applied = self.rng.random_range(0..3) > 0;
            let member = &mut self.members[index];
            if received {
                member.log.clone_from(&source);
                member.term = self.term;
            }
            member.stalled_steps = if stall {
                length
            } else {
                member.stalled_steps.saturating_sub(1)
            };
            if applied && member.stalled_steps == 0 {
                member.applied = member.log.len();
            }
        }
        let primary = &mut self.members[self.primary];
        primary.applied = primary.log.len();
    }

    /// Promotes the replica with the longer log; the other members truncate what the new primary
    /// does not have.
    fn promote(&mut self) {
        let old = self.primary;
        let next = (0..MEMBER_COUNT).filter(|index| *index != old);
        self.primary = next
            .max_by_key(|index| self.members[*index].log.len())
            .unwrap();
        self.term = self.term.next();
        let log = self.members[self.primary].log.clone();
        for member in &mut self.members {
            let kept = member
                .log
                .iter()
                .zip(&log)
                .take_while(|(a, b)| a == b)
                .count();
            member.log.truncate(kept);
            member.applied = member.applied.min(kept);
        }
        self.members[self.primary].term = self.term;
        self.append();
        for vm in 0..VM_COUNT {
            let delay = Duration::from_millis(self.rng.random_range(0..300));
            self.pending_term_changes.push((self.now + delay, vm));
        }
    }

    fn append(&mut self) -> Position {
        let log = &mut self.members[self.primary].log;
        let position = Position::new(self.term, log.len() as u64 + 1);
        log.push(position);
        self.committed.insert(position, self.now);
        position
    }

    fn deliver_term_changes(&mut self) {
        let now = self.now;
        for (_, vm) in self
            .pending_term_changes
            .extract_if(.., |(at, _)| *at <= now)
        {
            let primary = Some(member(self.primary));
            let event = SelectorEvent::TermChanged {
                group: group(),
                term: self.term,
                primary,
            };
            self.vms[vm].handle(now, &event);
        }
    }

    fn observe(&mut self, vm: usize, index: usize, probe: bool) {
        let state = &self.members[index];
        let event = SelectorEvent::Observed {
            group: group(),
            member: member(index),
            term: probe.then_some(state.term),
            applied: Some(state.position()),
            received: None,
            sent_at: self.now,
        };
        self.vms[vm].handle(self.now, &event);
        if index == self.primary && self.vms[vm].term(&group()) == self.term {
            let event = SelectorEvent::PrimaryPosition {
                group: group(),
                term: self.term,
                position: self.members[index].position(),
                sent_at: self.now,
            };
            self.vms[vm].handle(self.now, &event);
        }
    }

    /// Lets a caller without a token read on a route that accepts a maximum age, and checks the age
    /// of the data.
    fn read_within_max_staleness(&mut self, vm: usize) {
        let max_staleness = Duration::from_millis(self.rng.random_range(1..150));
        let group = group();
        let query = ReadQuery {
            group: &group,
            mark: SessionVector::new().mark(&group),
            max_staleness,
            primary_queue: Duration::ZERO,
            waited: Duration::ZERO,
        };
        let ReadChoice::Replica(name) = self.vms[vm].choose(self.now, &query) else {
            return;
        };
        let index = (0..MEMBER_COUNT).find(|m| member(*m) == name).unwrap();
        let state = &self.members[index];
        let applied_log = &state.log[..state.applied];
        let log = self.members[self.primary].log.iter();
        let due = |at: &&Position| self.now.since(self.committed[*at]) > max_staleness;
        let due = log.take_while(due).count();
        assert!(
            applied_log.len() >= due,
            "{name} is older than {max_staleness:?}"
        );
        self.reads_within_max_staleness += 1;
    }

    fn vector(&self, session: usize) -> SessionVector {
        let token = self.sessions[session].token.as_deref();
        let verify = |text| SessionToken::verify(&self.secrets, &"w".into(), text).unwrap();
        token.map_or_else(SessionVector::new, |text| verify(text).vector)
    }

    fn store_token(&mut self, session: usize, vector: &SessionVector) {
        let workspace = WorkspaceId::from("w");
        let token = SessionToken {
            session: SessionId(1),
            stamp: HybridTime::default(),
            vector: vector.clone(),
        };
        let token = token.encode(&self.secrets, &workspace).unwrap();
        self.sessions[session].token = Some(token);
    }

    /// Writes, and acknowledges after one replica has received the write. A VM that does not know
    /// the current term cannot acknowledge.
    fn write(&mut self, vm: usize, session: usize) {
        if self.vms[vm].term(&group()) != self.term {
            return;
        }
        let position = self.append();
        let replica = (self.primary + 1) % MEMBER_COUNT;
        self.members[replica].log = self.members[self.primary].log.clone();
        let mut vector = self.vector(session);
        vector.raise_on_primary(&group(), position);
        self.store_token(session, &vector);
        self.sessions[session].last_write = Some(position);
    }

    fn read(&mut self, vm: usize, session: usize) {
        let needed = self.vector(session).mark(&group()).position;
        let has_needed = |m: &Member| m.position() >= needed.unwrap_or_default();
        let replica_possible =
            (0..MEMBER_COUNT).any(|m| m != self.primary && has_needed(&self.members[m]));
        self.reads += 1;
        self.oracle_reads += u32::from(replica_possible);
        self.run_read(vm, session, self.now);
    }

    fn run_read(&mut self, vm: usize, session: usize, since: MonoTime) {
        let (group, mut vector) = (group(), self.vector(session));
        let query = ReadQuery {
            group: &group,
            mark: vector.mark(&group),
            max_staleness: Duration::ZERO,
            primary_queue: Duration::from_millis(2),
            waited: self.now.since(since),
        };
        match self.vms[vm].choose(self.now, &query) {
            ReadChoice::Replica(name) => self.read_replica(vm, session, &name),
            ReadChoice::Wait { .. } => {
                self.probe(vm);
                self.waits += u32::from(since == self.now);
                self.waiting.push((vm, session, since));
            }
            ReadChoice::Primary { reason, .. } => {
                assert!(matches!(
                    reason,
                    Reason::ReplicaBehind | Reason::NoSessionEvidence
                ));
                self.probe(vm);
                if self.vms[vm].term(&group) == self.term {
                    let seen = self.members[self.primary].position();
                    self.observe(vm, self.primary, false);
                    if vector.mark(&group).trust != Trust::Proven {
                        vector.raise_on_primary(&group, seen);
                        self.store_token(session, &vector);
                    }
                }
            }
        }
    }

    /// Requests the positions of all members, as an exchange does when no replica has caught up.
    fn probe(&mut self, vm: usize) {
        if self.now.since(self.last_probe_at[vm]) >= MIN_PROBE_INTERVAL {
            self.last_probe_at[vm] = self.now;
        }
    }

    fn read_replica(&mut self, vm: usize, session: usize, name: &MemberId) {
        let index = (0..MEMBER_COUNT).find(|m| member(*m) == *name).unwrap();
        let last_write = self.sessions[session].last_write;
        let state = &self.members[index];
        let has_own =
            last_write.is_none_or(|last_write| state.log[..state.applied].contains(&last_write));
        assert!(
            has_own,
            "session {session} does not see {last_write:?} on {name}"
        );
        self.replica_reads += 1;
        self.observe(vm, index, false);
    }
}

/// Guards against a replica that serves a session without the session's acknowledged writes, or a
/// caller without a token with data older than its route accepts.
#[test]
fn replica_reads_include_own_writes_and_stay_within_the_maximum_age() {
    for seed in 0..12 {
        let mut model = Model::new(seed);
        for step in 1..=2_000 {
            model.step();
            if step % 700 == 0 {
                model.promote();
            }
        }
        assert!(model.replica_reads > 0 && model.reads_within_max_staleness > 0);
    }
}

/// Guards against a selection that is correct only because it hardly uses replicas.
#[test]
fn replicas_serve_nearly_as_many_reads_as_an_oracle_could_send_to_them() {
    let (mut served, mut possible, mut reads, mut waits) = (0, 0, 0, 0);
    for seed in 100..103 {
        let mut model = Model::new(seed);
        (0..5_000).for_each(|_| model.step());
        served += model.replica_reads;
        possible += model.oracle_reads;
        reads += model.reads;
        waits += model.waits;
    }
    let share = f64::from(served) / f64::from(possible);
    println!(
        "reads {reads}, oracle {possible}, replicas {served}, waits {waits}, share {share:.4}"
    );
    assert!(
        share >= 0.95,
        "replicas served {share:.4} of what an oracle could"
    );
}
