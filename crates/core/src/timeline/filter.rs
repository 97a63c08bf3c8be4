//! Selection of entries of a merged timeline.

use crate::timeline::Entry;
use crate::timeline::EventCode;
use crate::timeline::Record;
use crate::timeline::SessionId;
use crate::timeline::WallTime;
use crate::types::CallerId;
use crate::types::DataCentreId;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::RequestId;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// Selects entries of a merged timeline. An event must match every field that is set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// The database group that an event is about.
    pub group: Option<GroupId>,
    /// The workspace that an event is about.
    pub workspace: Option<WorkspaceId>,
    /// The session that an event is about.
    pub session: Option<SessionId>,
    /// The request that an event is about. Set `vm` too, because request numbers are unique only on
    /// one VM.
    pub request: Option<RequestId>,
    /// The caller that an event is about. Set `vm` too, because caller numbers are unique only on
    /// one VM.
    pub caller: Option<CallerId>,
    /// The data centre that an event is about, or in which it was recorded.
    pub data_centre: Option<DataCentreId>,
    /// The VM that an event is about, or that recorded it.
    pub vm: Option<VmId>,
    /// The group member that an event is about.
    pub member: Option<MemberId>,
    /// The kinds of events; empty for all.
    pub codes: Vec<EventCode>,
    /// The earliest time, inclusive.
    pub from: Option<WallTime>,
    /// The latest time, inclusive.
    pub until: Option<WallTime>,
}

impl Filter {
    /// Returns whether an entry is selected. A gap is selected unless it lies entirely outside the
    /// time range, because the missing events might match.
    pub fn matches(&self, entry: &Entry) -> bool {
        match entry {
            Entry::Event { record, .. } => {
                let time = record.time.physical;
                self.from.is_none_or(|from| time >= from)
                    && self.until.is_none_or(|until| time <= until)
                    && self.matches_location(entry, record)
                    && self.matches_subject(record)
            }
            Entry::Gap(gap) => {
                let ends_before = |from| gap.until.is_some_and(|until| until.physical < from);
                let begins_after = |until| gap.since.is_some_and(|since| since.physical > until);
                !self.from.is_some_and(ends_before) && !self.until.is_some_and(begins_after)
            }
        }
    }

    /// Returns the selected entries, in the order given.
    pub fn apply<'a>(&self, entries: &'a [Entry]) -> impl Iterator<Item = &'a Entry> {
        entries.iter().filter(|entry| self.matches(entry))
    }

    fn matches_location(&self, entry: &Entry, record: &Record) -> bool {
        let (process, subject) = (entry.process(), &record.subject);
        let vm = |vm: &VmId| process.vm == *vm || subject.vm.as_ref() == Some(vm);
        let data_centre = |name: &DataCentreId| {
            process.data_centre == *name || subject.data_centre.as_ref() == Some(name)
        };
        self.vm.as_ref().is_none_or(vm) && self.data_centre.as_ref().is_none_or(data_centre)
    }

    fn matches_subject(&self, record: &Record) -> bool {
        fn matches_field<T: PartialEq>(wanted: &Option<T>, found: &Option<T>) -> bool {
            wanted.is_none() || wanted == found
        }
        let subject = &record.subject;
        matches_field(&self.group, &subject.group)
            && matches_field(&self.workspace, &subject.workspace)
            && matches_field(&self.session, &subject.session)
            && matches_field(&self.request, &subject.request)
            && matches_field(&self.caller, &subject.caller)
            && matches_field(&self.member, &subject.member)
            && (self.codes.is_empty() || self.codes.contains(&record.code))
    }
}
