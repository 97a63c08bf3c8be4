//! Which members of a group may hold confirmed commits that no other member has.
//!
//! With confirming replicas a member is promoted only if enough others have answered, so their number
//! has to be known also to a process that has just started, while the entries of members that are down
//! have expired. It is kept in the store, in one record for each group. A member is added when it
//! registers. One that has gone is dropped once the primary and enough replicas have reported that they
//! hold all that it may have confirmed, so that a member which is lost for good does not prevent later
//! promotions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::Position;

use crate::event::PoolAction;
use crate::event::WriteOutcome;
use crate::group::Group;
use crate::member::Member;
use crate::pool::Pool;
use crate::report::Report;
use crate::roster::FleetRecord;
use crate::statement::MemberCommand;
use crate::statement::MemberStatus;

/// The names of the records begin with this.
pub(crate) const HOLDERS_RECORD_PREFIX: &str = "holders.";

/// The version of the messages between VMs that contain such records.
pub(crate) const COMMIT_HOLDERS_VERSION: u32 = 2;

/// Time after which a member without an entry counts as gone. Entries that expired during an outage of
/// the store are back within two seconds of its return.
const DEPARTURE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two questions for the positions of the remaining members.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between the attempts of VMs of successive ranks to update a record.
const DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// Delay after a write that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The members that may hold confirmed commits. A member that has announced that it is leaving has its
/// address: its log is transferred to the next member there.
pub type HolderSet = BTreeMap<MemberId, Option<SocketAddr>>;

/// What a VM knows about the record of a group.
#[derive(Clone, Debug, Default)]
pub(crate) struct CommitHolders {
    /// The content of the record; `None` if none has been read or written.
    known: Option<HolderSet>,
    /// Whether the store has this content, which it may have lost when it came back from a copy.
    is_stored: bool,
    /// What is being written.
    written: Option<HolderSet>,
    /// Since when the record has to be updated.
    outdated_since: Option<MonoTime>,
    not_before: MonoTime,
    departure: Option<Departure>,
}

/// Members that have gone, and what the others hold.
#[derive(Clone, Debug)]
struct Departure {
    departed: BTreeSet<MemberId>,
    primary: MemberId,
    next_query_at: MonoTime,
    is_queried: bool,
    /// A position that the primary has reported since the members have gone.
    position: Option<Position>,
    /// The replicas that have reported this position or a later one.
    replicas: BTreeSet<MemberId>,
}

impl CommitHolders {
    /// Takes over the record that was read from the store; `None` if it was removed. A record that may
    /// be older than what is known, since the store has come back from a copy, only adds members.
    pub(crate) fn record_read(&mut self, record: Option<&HolderSet>, may_be_older: bool) {
        self.written = None;
        self.is_stored = record.is_some() && !may_be_older;
        let Some(record) = record else {
            return;
        };
        match &mut self.known {
            Some(known) if may_be_older => {
                for (member, left_address) in record {
                    known.entry(member.clone()).or_insert(*left_address);
                }
            }
            known => *known = Some(record.clone()),
        }
    }

    /// Records a position that a member has reported after it was asked for it.
    pub(crate) fn note_position(&mut self, member: &MemberId, status: MemberStatus) {
        let Some(departure) = self.departure.as_mut().filter(|known| known.is_queried) else {
            return;
        };
        match departure.position {
            _ if departure.primary == *member => {
                let position = status.is_primary.then_some(status.received);
                departure.position = departure.position.or(position);
            }
            Some(position) if !status.is_primary && status.received >= position => {
                departure.replicas.insert(member.clone());
            }
            _ => {}
        }
    }

    /// Forgets what members have reported, after which ones that had gone may have been back.
    pub(crate) fn forget_positions(&mut self) {
        self.departure = None;
    }

    /// Returns the members that have gone and hold nothing that the others lack.
    fn dispensable(&self, confirming: usize) -> Option<&BTreeSet<MemberId>> {
        let departure = self.departure.as_ref()?;
        (departure.replicas.len() >= confirming).then_some(&departure.departed)
    }
}

impl Group {
    /// Returns how many members may hold confirmed commits, including the primary and members that
    /// have gone. Without a record only those are known that this VM has seen.
    pub(crate) fn commit_holders(&self, now: MonoTime) -> usize {
        let Some(known) = &self.holders.known else {
            let missing = self.recently_missing(now);
            let has_unknown_primary = self.primary.is_none() && missing == 0;
            return self.members.len() + missing + usize::from(has_unknown_primary);
        };
        let gone = known.iter().filter(|(id, left_address)| {
            !self.members.contains_key(*id) && !self.has_member_at(**left_address)
        });
        self.members.len() + gone.count()
    }

    fn has_member_at(&self, address: Option<SocketAddr>) -> bool {
        let mut members = self.members.values();
        address.is_some_and(|address| members.any(|member| member.entry.address == address))
    }

    /// Returns what the record should contain: the recorded members except those that are dispensable,
    /// and those that are registered.
    fn wanted_holders(&self, confirming: usize) -> HolderSet {
        let dispensable = self.holders.dispensable(confirming);
        let is_kept = |id: &MemberId| dispensable.is_none_or(|members| !members.contains(id));
        let known = self.holders.known.iter().flatten();
        let known = known.filter(|(id, _)| is_kept(id));
        let known = known.map(|(id, left_address)| (id.clone(), *left_address));
        let left_address = |member: &Member| member.draining_since.map(|_| member.entry.address);
        let registered = self.members.iter();
        let registered = registered.map(|(id, member)| (id.clone(), left_address(member)));
        known.chain(registered).collect()
    }

    fn departed_holders(&self) -> BTreeSet<MemberId> {
        let known = self.holders.known.iter().flatten();
        let departed = known.filter(|(id, _)| !self.members.contains_key(*id));
        departed.map(|(id, _)| id.clone()).collect()
    }
}

impl Pool {
    /// Keeps the record of a group's commit holders up to date.
    pub(crate) fn update_commit_holders(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let rule = self.config.groups.get(id);
        let confirming = rule.map_or(0, |rule| rule.sync_replicas);
        if confirming == 0
            || self.stop.is_some()
            || self.is_store_lost()
            || !self.knows_records_of_era()
        {
            return;
        }
        let confirming = usize::try_from(confirming).unwrap_or(usize::MAX);
        let rank = self.own_rank(id);
        self.query_after_departure(now, id, rank, actions);
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        if group.holders.known.is_none() && group.primary.is_none() {
            // The record would lack the primary, which may hold commits.
            return;
        }
        let wanted = group.wanted_holders(confirming);
        let holders = &mut group.holders;
        let is_recorded =
            wanted.is_empty() || holders.is_stored && holders.known.as_ref() == Some(&wanted);
        if is_recorded || holders.written.is_some() {
            holders.outdated_since = holders.outdated_since.filter(|_| !is_recorded);
            return;
        }
        let since = *holders.outdated_since.get_or_insert(now);
        if now < since + DELAY_PER_RANK * rank || now < holders.not_before {
            return;
        }
        holders.written = Some(wanted.clone());
        let name = format!("{HOLDERS_RECORD_PREFIX}{id}");
        let expected = self.record_revision(&name);
        actions.push(PoolAction::WriteRecord {
            name,
            record: FleetRecord::CommitHolders(wanted),
            expected,
        });
    }

    /// Asks the remaining members for their positions once others have been gone for a while.
    fn query_after_departure(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        rank: u32,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let departed = group.departed_holders();
        let primary = group.primary.clone().filter(|primary| {
            let member = group.members.get(primary);
            member.is_some_and(|member| {
                member.down_since.is_none()
                    && member.missing_since.is_none()
                    && member.not_primary_since.is_none()
            })
        });
        let Some(primary) = primary.filter(|_| !departed.is_empty()) else {
            group.holders.departure = None;
            return;
        };
        let known = group.holders.departure.take();
        let known = known.filter(|known| known.departed == departed && known.primary == primary);
        let departure = group.holders.departure.insert(known.unwrap_or(Departure {
            departed,
            primary,
            next_query_at: now + DEPARTURE_TIMEOUT + DELAY_PER_RANK * rank,
            is_queried: false,
            position: None,
            replicas: BTreeSet::new(),
        }));
        if now < departure.next_query_at {
            return;
        }
        departure.next_query_at = now + QUERY_INTERVAL;
        departure.is_queried = true;
        let reachable = group.members.iter();
        let reachable = reachable.filter(|(_, member)| member.down_since.is_none());
        let members: Vec<MemberId> = reachable.map(|(member, _)| member.clone()).collect();
        for member in members {
            self.query_member(now, id, &member, MemberCommand::Status, actions);
        }
    }

    /// Handles the outcome of a write of the record of a group.
    pub(crate) fn holders_written(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        outcome: &WriteOutcome,
        actions: &mut Vec<PoolAction>,
    ) {
        let name = format!("{HOLDERS_RECORD_PREFIX}{id}");
        let Some(group) = self.groups.get_mut(id) else {
            return;
        };
        let written = group.holders.written.take();
        match (outcome, written) {
            (WriteOutcome::Written(revision), Some(written)) => {
                actions.push(PoolAction::Report(Report::CommitHolders {
                    group: id.clone(),
                    members: written.len(),
                }));
                group.holders.known = Some(written);
                group.holders.is_stored = true;
                self.record_revisions.insert(name, *revision);
            }
            (
                WriteOutcome::Conflict {
                    record: Some(FleetRecord::CommitHolders(record)),
                    ..
                },
                _,
            ) => group
                .holders
                .record_read(Some(record), !group.holders.is_stored),
            _ => group.holders.not_before = now + WRITE_RETRY_DELAY,
        }
    }
}
