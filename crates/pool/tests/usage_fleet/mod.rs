//! Usage reporting of several VMs in virtual time, with a stand-in for the store and the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;
use lycheedoor_pool::usage_report::FixedWindow;
use lycheedoor_pool::usage_report::UsageAction;
use lycheedoor_pool::usage_report::UsageCounts;
use lycheedoor_pool::usage_report::UsageMessage;
use lycheedoor_pool::usage_report::UsageNote;
use lycheedoor_pool::usage_report::UsageOutcome;
use lycheedoor_pool::usage_report::UsageRecord;
use lycheedoor_pool::usage_report::UsageReporter;
use lycheedoor_pool::usage_report::UsageRules;

pub(crate) const WINDOW_MS: u64 = 5_000;
pub(crate) const DEADLINE_MS: u64 = 10_000;
pub(crate) const LEASE_MS: u64 = 3_000;

/// True time at the start, in milliseconds of Unix time: the start of a window.
const START_MS: u64 = 1_700_000_000_000;

const TICK_MS: u64 = 50;
const DELAY_MS: u64 = 2;

pub(crate) struct Vm {
    name: VmId,
    reporter: Option<UsageReporter>,
    started_at: u64,
    starts: u64,
    /// How far the time of day is off.
    pub(crate) skew_ms: i64,
    pub(crate) is_paused: bool,
    pub(crate) is_cut_from_store: bool,
    pub(crate) is_cut_from_vms: bool,
    pub(crate) is_cut_from_platform: bool,
    /// What has arrived while the process was paused.
    inbox: Vec<Event>,
}

#[derive(Clone)]
enum Event {
    Message(usize, Incarnation, UsageMessage),
    Written(Option<Result<u64, (u64, Option<UsageRecord>)>>),
    Answered(u64, u64, UsageOutcome),
    /// A call that is carried out by the platform now.
    Report(usize, u64, FixedWindow),
}

/// A report that the platform has accepted.
pub(crate) struct Call {
    pub(crate) at: u64,
    pub(crate) vm: usize,
    pub(crate) token: u64,
    pub(crate) window: FixedWindow,
}

pub(crate) struct Fleet {
    pub(crate) now: u64,
    pub(crate) vms: Vec<Vm>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    queued: u64,
    pub(crate) record: Option<(u64, UsageRecord)>,
    revision: u64,
    pub(crate) is_store_up: bool,
    /// Writes that take effect without an answer.
    pub(crate) lost_store_answers: u32,
    pub(crate) is_platform_up: bool,
    /// Reports without an answer that are carried out after this time.
    pub(crate) lost_reports: Vec<u64>,
    pub(crate) calls: Vec<Call>,
    pub(crate) refused: u32,
    pub(crate) sent: u32,
    pub(crate) notes: Vec<UsageNote>,
    pub(crate) messages: u64,
    pub(crate) writes: u64,
    truth: BTreeMap<u64, UsageCounts>,
    seed: u64,
}

impl Fleet {
    pub(crate) fn start(vms: usize) -> Self {
        let mut fleet = Self {
            now: 0,
            vms: Vec::new(),
            queue: BTreeMap::new(),
            queued: 0,
            record: None,
            revision: 100,
            is_store_up: true,
            lost_store_answers: 0,
            is_platform_up: true,
            lost_reports: Vec::new(),
            calls: Vec::new(),
            refused: 0,
            sent: 0,
            notes: Vec::new(),
            messages: 0,
            writes: 0,
            truth: BTreeMap::new(),
            seed: 1,
        };
        for index in 0..vms {
            fleet.vms.push(Vm {
                name: VmId::from(format!("vm-{index}").as_str()),
                reporter: None,
                started_at: 0,
                starts: 0,
                skew_ms: 0,
                is_paused: false,
                is_cut_from_store: false,
                is_cut_from_vms: false,
                is_cut_from_platform: false,
                inbox: Vec::new(),
            });
        }
        (0..vms).for_each(|vm| fleet.start_vm(vm));
        fleet
    }

    pub(crate) fn random(&mut self, below: u64) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % below
    }

    pub(crate) fn set_seed(&mut self, seed: u64) {
        self.seed = seed * 0x9E37_79B9 + 1;
    }

    pub(crate) fn start_vm(&mut self, vm: usize) {
        let rules = UsageRules {
            window: Duration::from_millis(WINDOW_MS),
            deadline: Duration::from_millis(DEADLINE_MS),
            lease: Duration::from_millis(LEASE_MS),
        };
        let state = &mut self.vms[vm];
        state.started_at = self.now;
        state.starts += 1;
        state.is_paused = false;
        state.inbox.clear();
        let incarnation = Incarnation(self.now * 100 + vm as u64 + 1);
        let name = state.name.clone();
        state.reporter = Some(UsageReporter::new(name, incarnation, rules, MonoTime::ZERO));
        self.update_peers();
    }

    pub(crate) fn kill(&mut self, vm: usize) {
        self.vms[vm].reporter = None;
        // Writes and answers of the former process reach nobody.
        self.queue
            .retain(|_, (to, event)| *to != vm || matches!(event, Event::Report(..)));
    }

    pub(crate) fn stop(&mut self, vm: usize) {
        let now = self.mono(vm);
        let mut out = Vec::new();
        if let Some(reporter) = &mut self.vms[vm].reporter {
            reporter.stop(now, &mut out);
        }
        self.execute(vm, out);
    }

    pub(crate) fn stop_and_kill(&mut self, vm: usize) {
        self.stop(vm);
        let now = self.mono(vm);
        let mut out = Vec::new();
        if let Some(reporter) = &mut self.vms[vm].reporter {
            reporter.flush(now, &mut out);
        }
        self.execute(vm, out);
        self.kill(vm);
    }

    fn incarnation(&self, vm: usize) -> Incarnation {
        Incarnation(self.vms[vm].started_at * 100 + vm as u64 + 1)
    }

    /// All VMs know each other from the store, also those that are down.
    fn update_peers(&mut self) {
        let all: Vec<_> = (0..self.vms.len())
            .map(|vm| (self.vms[vm].name.clone(), self.incarnation(vm)))
            .collect();
        for vm in &mut self.vms {
            if let Some(reporter) = &mut vm.reporter {
                reporter.set_peers(all.iter().cloned());
            }
        }
    }

    fn mono(&self, vm: usize) -> MonoTime {
        MonoTime::from_millis(self.now - self.vms[vm].started_at)
    }

    pub(crate) fn window_now(&self) -> u64 {
        (START_MS + self.now) / WINDOW_MS
    }

    pub(crate) fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].reporter.is_some()
    }

    /// The VM that the record names.
    pub(crate) fn holder(&self) -> usize {
        let (_, record) = self.record.as_ref().expect("a VM has claimed the duty");
        let holder = |vm: &Vm| vm.name == record.holder;
        self.vms.iter().position(holder).expect("a VM of the fleet")
    }

    /// A statement begins at a member and is answered at once.
    pub(crate) fn statement(&mut self, vm: usize, workspace: &str) {
        let now = self.mono(vm);
        let window = self.window_now();
        let workspace = WorkspaceId::from(workspace);
        if let Some(reporter) = &mut self.vms[vm].reporter {
            reporter.record(now, &workspace);
            let counts = self.truth.entry(window).or_default();
            *counts.entry(workspace).or_default() += 1;
        }
    }

    /// Runs for a time in which each VM that is up sends 20 statements a second for one of five
    /// workspaces.
    pub(crate) fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
                let (vm, event) = entry.remove();
                self.deliver(vm, event);
            }
            if self.now.is_multiple_of(TICK_MS) {
                (0..self.vms.len()).for_each(|vm| self.tick(vm));
            }
        }
    }

    fn tick(&mut self, vm: usize) {
        if self.vms[vm].is_paused || self.vms[vm].reporter.is_none() {
            return;
        }
        for event in std::mem::take(&mut self.vms[vm].inbox) {
            self.deliver(vm, event);
        }
        self.statement(vm, &format!("ws-{}", vm % 5));
        let now = self.mono(vm);
        let time_ms = (START_MS + self.now).saturating_add_signed(self.vms[vm].skew_ms);
        let mut out = Vec::new();
        if let Some(reporter) = &mut self.vms[vm].reporter {
            reporter.set_wall_time(now, time_ms * 1_000);
            reporter.run(now, &mut out);
        }
        self.execute(vm, out);
    }

    fn push(&mut self, delay_ms: u64, vm: usize, event: Event) {
        self.queued += 1;
        self.queue
            .insert((self.now + delay_ms, self.queued), (vm, event));
    }

    fn deliver(&mut self, vm: usize, event: Event) {
        if let Event::Report(from, token, window) = event {
            let outcome = self.accept(from, token, &window);
            return self.push(
                DELAY_MS,
                from,
                Event::Answered(token, window.number, outcome),
            );
        }
        if self.vms[vm].is_paused {
            return self.vms[vm].inbox.push(event);
        }
        let now = self.mono(vm);
        let mut out = Vec::new();
        let names: Vec<VmId> = self.vms.iter().map(|vm| vm.name.clone()).collect();
        let Some(reporter) = &mut self.vms[vm].reporter else {
            return;
        };
        match event {
            Event::Message(from, incarnation, message) => {
                reporter.peer_sent(now, &names[from], incarnation, message, &mut out);
            }
            Event::Written(None) => reporter.write_unanswered(now, &mut out),
            Event::Written(Some(Ok(revision))) => {
                reporter.record_written(now, revision.into(), &mut out)
            }
            Event::Written(Some(Err((revision, record)))) => {
                reporter.record_differs(now, revision.into(), record, &mut out);
            }
            Event::Answered(token, window, outcome) => {
                reporter.report_answered(now, token, window, outcome, &mut out);
            }
            Event::Report(..) => {}
        }
        self.execute(vm, out);
    }

    fn execute(&mut self, vm: usize, actions: Vec<UsageAction>) {
        for action in actions {
            match action {
                UsageAction::Send { to, message } => {
                    self.messages += 1;
                    let is_to = |peer: &Vm| peer.name == to;
                    let to = self.vms.iter().position(is_to).expect("a VM of the fleet");
                    if !self.vms[vm].is_cut_from_vms && !self.vms[to].is_cut_from_vms {
                        let incarnation = self.incarnation(vm);
                        self.push(DELAY_MS, to, Event::Message(vm, incarnation, message));
                    }
                }
                UsageAction::Write { record, expected } => {
                    self.write(vm, record, expected.map(|expected| expected.revision))
                }
                UsageAction::Report { token, window } => {
                    self.sent += 1;
                    if !self.is_platform_up || self.vms[vm].is_cut_from_platform {
                        let answer = Event::Answered(token, window.number, UsageOutcome::Unknown);
                        self.push(1_500, vm, answer);
                    } else if let Some(delay) = self.lost_reports.pop() {
                        let answer = Event::Answered(token, window.number, UsageOutcome::Unknown);
                        self.push(1_500, vm, answer);
                        self.push(delay, vm, Event::Report(vm, token, window));
                    } else {
                        self.push(DELAY_MS, vm, Event::Report(vm, token, window));
                    }
                }
                UsageAction::Note(note) => self.notes.push(note),
            }
        }
    }

    fn write(&mut self, vm: usize, record: UsageRecord, expected: Option<u64>) {
        self.writes += 1;
        if !self.is_store_up || self.vms[vm].is_cut_from_store {
            return self.push(1_500, vm, Event::Written(None));
        }
        let current = self.record.as_ref().map(|(revision, _)| *revision);
        let outcome = if current == expected {
            self.revision += 3;
            self.record = Some((self.revision, record));
            Ok(self.revision)
        } else {
            let record = self.record.clone();
            Err(record.map_or((0, None), |(revision, record)| (revision, Some(record))))
        };
        if self.lost_store_answers > 0 {
            self.lost_store_answers -= 1;
            return self.push(1_500, vm, Event::Written(None));
        }
        self.push(2 * DELAY_MS, vm, Event::Written(Some(outcome)));
    }

    /// The platform: checks the fence, and the rules over all accepted reports.
    fn accept(&mut self, vm: usize, token: u64, window: &FixedWindow) -> UsageOutcome {
        let highest = self.calls.iter().map(|call| call.token).max();
        if highest.is_some_and(|highest| token < highest) {
            self.refused += 1;
            return UsageOutcome::Refused;
        }
        for call in &self.calls {
            if call.window.number == window.number {
                assert_eq!(call.window, *window, "a window with different counts");
            }
            assert!(call.token != token || call.vm == vm, "a token of two VMs");
        }
        let former = self.calls.iter().rev().find(|call| call.vm != vm);
        let before = former.and_then(|former| {
            let own = self.calls.iter().rev().find(|call| call.vm == vm);
            own.filter(|own| own.at < former.at)
        });
        let is_return = before.is_some_and(|own| self.now - own.at < LEASE_MS);
        assert!(!is_return, "the duty returned to a VM within the lease");
        self.calls.push(Call {
            at: self.now,
            vm,
            token,
            window: window.clone(),
        });
        UsageOutcome::Accepted
    }

    /// Returns whether a window was accepted in time.
    pub(crate) fn is_reported(&self, window: u64) -> bool {
        let due = (window + 1) * WINDOW_MS + DEADLINE_MS - START_MS;
        let mut calls = self.calls.iter();
        calls.any(|call| call.window.number == window && call.at <= due)
    }

    /// Returns the largest deviation of a report from the truth, as a share.
    pub(crate) fn error_of(&self, window: u64) -> f64 {
        let mut calls = self.calls.iter();
        let call = calls.find(|call| call.window.number == window);
        let Some(call) = call else {
            return 1.0;
        };
        let truth = &self.truth[&window];
        let names = truth.keys().chain(call.window.counts.keys());
        let errors = names.map(|workspace| {
            let count = |counts: &UsageCounts| counts.get(workspace).copied().unwrap_or(0) as f64;
            (count(&call.window.counts) - count(truth)).abs() / count(truth).max(1.0)
        });
        errors.fold(0.0, f64::max)
    }

    /// Checks that all windows of a range were reported in time and within a bound.
    pub(crate) fn assert_reported(&self, windows: std::ops::Range<u64>, bound: f64) {
        for window in windows {
            assert!(self.is_reported(window), "window {window} is missing");
            let error = self.error_of(window);
            assert!(error <= bound, "window {window} is off by {error}");
        }
    }
}
