//! The events that a VM records on its timeline.

use crate::config::Config;
use crate::config::DataCentreState;
use crate::config::MemberAvailability;
use crate::timeline::EventCode;
use crate::timeline::Export;
use crate::timeline::HybridTime;
use crate::timeline::Process;
use crate::timeline::Subject;
use crate::timeline::Timeline;
use crate::timeline::WallTime;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::vm::Vm;
use crate::vm::VmSettings;

/// The timeline of a VM, and the wall clock that timestamps its records.
#[derive(Debug)]
pub(super) struct Trace {
    timeline: Timeline,
    wall_start_us: u64,
}

impl Trace {
    /// Creates an empty timeline.
    pub(super) fn new(settings: &VmSettings) -> Self {
        let process = Process {
            vm: settings.vm.clone(),
            incarnation: settings.incarnation,
            data_centre: settings.data_centre.clone(),
        };
        Self {
            timeline: Timeline::new(process, settings.timeline_records),
            wall_start_us: settings.wall_start_us,
        }
    }

    /// Returns whether events are recorded. If not, callers can skip collecting the content of a
    /// record.
    pub(super) fn is_recording(&self) -> bool {
        self.timeline.is_recording()
    }

    /// Returns the wall clock time. It is derived from the monotonic clock, so it never jumps.
    fn wall(&self, now: MonoTime) -> WallTime {
        WallTime(self.wall_start_us.saturating_add(now.as_micros()))
    }
}

impl Vm {
    #[inline]
    pub(super) fn record(&mut self, now: MonoTime, code: EventCode, subject: Subject) {
        let wall = self.trace.wall(now);
        self.trace.timeline.record(wall, code, subject);
    }

    /// Returns the hybrid timestamp for a message that is sent now.
    pub fn next_timestamp(&mut self, now: MonoTime) -> HybridTime {
        let wall = self.trace.wall(now);
        self.trace.timeline.stamp(wall)
    }

    /// Advances the hybrid clock to the timestamp of a message that has arrived.
    pub fn observe_timestamp(&mut self, now: MonoTime, stamp: HybridTime) {
        let wall = self.trace.wall(now);
        self.trace.timeline.observe(wall, stamp);
    }

    /// Returns up to `limit` recorded events, starting with the sequence number `from_sequence`.
    pub fn export_timeline(&self, now: MonoTime, from_sequence: u64, limit: usize) -> Export {
        let wall = self.trace.wall(now);
        self.trace.timeline.export(wall, from_sequence, limit)
    }

    /// Returns the timeline of this VM, which holds its most recent records.
    pub fn timeline(&self) -> &Timeline {
        &self.trace.timeline
    }

    /// Records that a version of the configuration is applied, and the keys, data centres and
    /// members that it takes out of service or back into it.
    pub(super) fn record_config(
        &mut self,
        now: MonoTime,
        previous: Option<&Config>,
        config: &Config,
    ) {
        let version = Some(config.version);
        let applied = Subject {
            version,
            ..Subject::default()
        };
        self.record(now, EventCode::ConfigurationApplied, applied);
        let Some(previous) = previous else { return };
        self.record_withdrawn_keys(now, previous, config);
        self.record_data_centres(now, previous, config);
        self.record_leaving(now, previous, config);
    }

    fn record_withdrawn_keys(&mut self, now: MonoTime, previous: &Config, config: &Config) {
        for (id, workspace) in &previous.workspaces {
            let kept = config.workspaces.get(id);
            let is_kept = |key| kept.is_some_and(|kept| kept.keys.contains(key));
            if !workspace.keys.iter().all(is_kept) {
                let subject = Subject {
                    workspace: Some(id.clone()),
                    version: Some(config.version),
                    reason: Some(Reason::Requested),
                    ..Subject::default()
                };
                self.record(now, EventCode::KeyWithdrawn, subject);
            }
        }
    }

    fn record_data_centres(&mut self, now: MonoTime, previous: &Config, config: &Config) {
        for (id, declared) in &config.data_centres {
            let before = previous.data_centres.get(id).map(|found| found.state);
            if before.is_none_or(|before| before == declared.state) {
                continue;
            }
            let code = match declared.state {
                DataCentreState::In => EventCode::DataCentreIn,
                DataCentreState::Out => EventCode::DataCentreOut,
            };
            let subject = Subject {
                data_centre: Some(id.clone()),
                version: Some(config.version),
                reason: Some(Reason::Requested),
                ..Subject::default()
            };
            self.record(now, code, subject);
        }
    }

    fn record_leaving(&mut self, now: MonoTime, previous: &Config, config: &Config) {
        for (group_id, group) in &config.groups {
            for (member_id, member) in &group.members {
                let before = previous.groups.get(group_id);
                let before = before.and_then(|group| group.members.get(member_id));
                let was_active =
                    before.is_some_and(|m| m.availability == MemberAvailability::Active);
                if was_active && member.availability == MemberAvailability::Leaving {
                    let subject = Subject {
                        group: Some(group_id.clone()),
                        member: Some(member_id.clone()),
                        version: Some(config.version),
                        reason: Some(Reason::TargetLeaving),
                        ..Subject::default()
                    };
                    self.record(now, EventCode::MemberLeaving, subject);
                }
            }
        }
    }
}
