//! Connects usage reporting with the rest of the pool.

use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::message::PoolMessage;
use crate::pool::Pool;
use crate::report::Report;
use crate::roster::FleetRecord;
use crate::usage_report::UsageAction;
use crate::usage_report::UsageMessage;
use crate::usage_report::UsageOutcome;

/// The name of the record of the VM that reports usage.
pub(crate) const USAGE_RECORD: &str = "usage";

/// The version of the messages between VMs that introduced those about usage.
const USAGE_MESSAGE_VERSION: u32 = 1;

impl Pool {
    /// Sets the VM's time of day, in microseconds of Unix time. It is used only for the windows of
    /// usage reports.
    pub fn set_wall_time(&mut self, now: MonoTime, time_us: u64) {
        if let Some(usage) = &mut self.usage {
            usage.set_wall_time(now, time_us);
        }
    }

    /// Returns whether the pool needs the time of day.
    pub fn uses_wall_time(&self) -> bool {
        self.usage.is_some()
    }

    /// Counts an operation that a member began to run.
    pub(crate) fn count_usage(&mut self, began_at: MonoTime, workspace: &WorkspaceId) {
        if let Some(usage) = &mut self.usage {
            usage.record(began_at, workspace);
        }
    }

    pub(crate) fn update_usage_peers(&mut self) {
        let Some(usage) = &mut self.usage else {
            return;
        };
        let roster = &self.roster;
        let understands = |vm: &&VmId| roster.understands(vm, USAGE_MESSAGE_VERSION);
        let names = roster.names().filter(understands);
        let peers = names.filter_map(|vm| Some((vm.clone(), roster.get(vm)?.incarnation)));
        usage.set_peers(peers);
    }

    pub(crate) fn run_usage(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        // Before the VM is ready it may not know all other VMs, and has nothing to report.
        if !self.is_ready {
            return;
        }
        let mut out = Vec::new();
        let is_store_reachable = !self.is_store_lost();
        if let Some(usage) = &mut self.usage {
            usage.set_store_reachable(is_store_reachable);
            if self.stop.is_some() {
                usage.stop(now, &mut out);
            }
            usage.run(now, &mut out);
        }
        self.execute_usage(out, actions);
    }

    /// Hands on what is left before the process exits.
    pub(crate) fn flush_usage(&mut self, now: MonoTime, actions: &mut Vec<PoolAction>) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.usage {
            usage.flush(now, &mut out);
        }
        self.execute_usage(out, actions);
    }

    pub(crate) fn usage_message_received(
        &mut self,
        now: MonoTime,
        from: &VmId,
        incarnation: Incarnation,
        message: UsageMessage,
        actions: &mut Vec<PoolAction>,
    ) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.usage {
            usage.peer_sent(now, from, incarnation, message, &mut out);
        }
        self.execute_usage(out, actions);
    }

    pub(crate) fn usage_record_written(
        &mut self,
        now: MonoTime,
        outcome: WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(usage) = &mut self.usage else {
            return;
        };
        let mut out = Vec::new();
        match outcome {
            WriteOutcome::Written(revision) => usage.record_written(now, revision, &mut out),
            WriteOutcome::Conflict { revision, record } => {
                let record = match record {
                    Some(FleetRecord::Usage(record)) => Some(*record),
                    _ => None,
                };
                usage.record_differs(now, revision, record, &mut out);
            }
            WriteOutcome::Unknown => usage.write_unanswered(now, &mut out),
        }
        self.execute_usage(out, actions);
    }

    /// Gives up the duty when the store has come back from an older copy.
    pub(crate) fn end_usage_of_era(&mut self, actions: &mut Vec<PoolAction>) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.usage {
            usage.store_restored(&mut out);
        }
        self.execute_usage(out, actions);
    }

    pub(crate) fn usage_answered(
        &mut self,
        now: MonoTime,
        token: u64,
        window: u64,
        outcome: UsageOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let mut out = Vec::new();
        if let Some(usage) = &mut self.usage {
            usage.report_answered(now, token, window, outcome, &mut out);
        }
        self.execute_usage(out, actions);
    }

    fn execute_usage(&self, out: Vec<UsageAction>, actions: &mut Vec<PoolAction>) {
        for action in out {
            match action {
                UsageAction::Send { to, message } => {
                    let message = PoolMessage::Usage(Box::new(message));
                    self.send_peer(&to, message, actions);
                }
                UsageAction::Write { record, expected } => actions.push(PoolAction::WriteRecord {
                    name: USAGE_RECORD.to_owned(),
                    record: FleetRecord::Usage(Box::new(record)),
                    expected,
                }),
                UsageAction::Report { token, window } => {
                    actions.push(PoolAction::ReportUsage { token, window });
                }
                UsageAction::Note(note) => actions.push(PoolAction::Report(Report::Usage(note))),
            }
        }
    }
}
