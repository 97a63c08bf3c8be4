//! Fake members of one database group, with terms, fencing, promotion and replication.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use lycheedoor_core::config::Group;
use lycheedoor_core::config::Member;
use lycheedoor_core::config::MemberAvailability;
use lycheedoor_core::types::DataCentreId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberCommand;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;

/// A log entry: the term in which it was written and the number of the write.
pub(crate) type Entry = (Term, u64);

#[derive(Clone, Debug)]
pub(crate) struct FakeMember {
    pub(crate) up: bool,
    pub(crate) paused_until: u64,
    pub(crate) role: MemberRole,
    pub(crate) term: Term,
    pub(crate) log: Vec<Entry>,
    /// When the member was last promoted.
    pub(crate) promoted_at: Option<u64>,
}

pub(crate) fn group_id() -> GroupId {
    GroupId::from("g")
}

pub(crate) fn member_id(index: usize) -> MemberId {
    MemberId::from(format!("m-{index}").as_str())
}

pub(crate) fn member_index(member: &MemberId) -> usize {
    member.as_str()["m-".len()..].parse().unwrap()
}

pub(crate) fn new_members(count: usize) -> Vec<FakeMember> {
    let member = |index| FakeMember {
        up: true,
        paused_until: 0,
        role: if index == 0 {
            MemberRole::Primary
        } else {
            MemberRole::Replica
        },
        term: Term(1),
        log: Vec::new(),
        promoted_at: None,
    };
    (0..count).map(member).collect()
}

pub(crate) fn group_config(count: usize) -> BTreeMap<GroupId, Group> {
    let member = |index: usize| Member {
        address: ([10, 1, 0, 0], 5_432).into(),
        data_centre: DataCentreId::from(["dc-a", "dc-b", "dc-c"][index % 3]),
        availability: MemberAvailability::Active,
    };
    let members = (0..count)
        .map(|index| (member_id(index), member(index)))
        .collect();
    BTreeMap::from([(
        group_id(),
        Group {
            members,
            slots: 3,
            connections: 20,
        },
    )])
}

impl FakeMember {
    pub(crate) fn state(&self) -> MemberState {
        let term = self.log.last().map_or(Term(0), |(term, _)| *term);
        let position = Position::new(term, self.log.len() as u64);
        MemberState {
            role: self.role,
            term: self.term,
            received: position,
            applied: position,
        }
    }

    /// Carries out a command. Returns `None` if the member rejects it.
    pub(crate) fn command(&mut self, now: u64, command: MemberCommand) -> Option<MemberState> {
        match command {
            MemberCommand::Fence(term) if term > self.term => {
                self.term = term;
                self.role = MemberRole::Replica;
            }
            MemberCommand::Promote(term) if term < self.term => return None,
            MemberCommand::Promote(term) => {
                if self.role != MemberRole::Primary || self.term != term {
                    self.promoted_at = Some(now);
                }
                self.term = term;
                self.role = MemberRole::Primary;
            }
            _ => {}
        }
        Some(self.state())
    }

    /// Appends a write as primary of a term. Returns `false` if the member rejects it.
    pub(crate) fn write(&mut self, term: Term, write: u64) -> bool {
        let is_primary = self.role == MemberRole::Primary && self.term == term;
        if is_primary {
            self.log.push((term, write));
        }
        is_primary
    }

    /// Replicates the log of a primary. Returns `false` if the member rejects it.
    pub(crate) fn replicate(&mut self, term: Term, log: &[Entry]) -> bool {
        if term < self.term || (term == self.term && self.role == MemberRole::Primary) {
            return false;
        }
        let is_newer = term > self.term || log.len() > self.log.len();
        self.term = term;
        self.role = MemberRole::Replica;
        if is_newer {
            self.log = log.to_vec();
        }
        true
    }

    /// Returns the first acknowledged write that is missing from the log.
    pub(crate) fn missing_write(&self, acknowledged: &BTreeSet<u64>) -> Option<u64> {
        let logged: BTreeSet<u64> = self.log.iter().map(|(_, write)| *write).collect();
        acknowledged.difference(&logged).next().copied()
    }
}
