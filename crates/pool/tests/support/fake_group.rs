//! A group whose members, store and platform answer a pool as the protocol says.

use std::collections::BTreeMap;

use lycheedoor_core::types::ConnectionId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_pool::FleetRecord;
use lycheedoor_pool::GroupRule;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::MemberFault;
use lycheedoor_pool::ObjectKind;
use lycheedoor_pool::ObjectValue;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolConfig;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::PromotionOutcome;
use lycheedoor_pool::TransactionState;

use super::GROUP;
use super::PRIMARY;
use super::PoolHarness;
use super::dead_primary::PEERS;
use super::dead_primary::answer_contact_requests;
use super::dead_primary::grant_writes;
use super::dead_primary::latest_claim;
use super::member;

pub(crate) const MEMBERS: [&str; 3] = [PRIMARY, "m2", "m3"];

/// The record of the group in the store.
pub(crate) const GROUP_RECORD: &str = "group.ledger-1";

/// What the platform does with a request to promote a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Platform {
    Available,
    Refusing,
    /// It answers that it is unavailable.
    Unavailable,
    /// It does not answer, and carries out the request later.
    Late,
}

/// Three members that answer as the protocol says, a store that grants each write, and a platform.
pub(crate) struct FakeGroup {
    pub(crate) harness: PoolHarness,
    pub(crate) primary: Option<&'static str>,
    pub(crate) down: Vec<&'static str>,
    pub(crate) received: BTreeMap<&'static str, u64>,
    pub(crate) platform: Platform,
    /// The highest token that the platform has seen.
    pub(crate) fence: u64,
    /// The promotions that were requested.
    pub(crate) requests: Vec<(String, u64)>,
    /// The requests that have not been carried out.
    pub(crate) late: Vec<(String, u64)>,
    /// What the store has recorded about the latest attempt.
    pub(crate) record: Option<FleetRecord>,
    /// The replica that receives each commit at once; the other one is three commits behind.
    pub(crate) confirming: &'static str,
    /// The newest commit that was confirmed.
    pub(crate) confirmed: u64,
    /// A member that starts again whenever it has been paused.
    pub(crate) restarted: Option<&'static str>,
    /// Commands of processes that have ended, with the terms that they name.
    pub(crate) late_commands: Vec<(&'static str, MemberCommand)>,
}

/// Returns a configuration in which some replicas have to confirm each commit.
pub(crate) fn confirmed_config(sync_replicas: u32) -> PoolConfig {
    let mut rules = super::config(1);
    let rule = GroupRule {
        sync_replicas,
        ..super::group_rule()
    };
    rules.groups.insert(GROUP.into(), rule);
    rules
}

impl FakeGroup {
    pub(crate) fn start(sync_replicas: u32) -> Self {
        Self {
            harness: PoolHarness::start(&PEERS, confirmed_config(sync_replicas)),
            primary: Some(PRIMARY),
            down: Vec::new(),
            received: MEMBERS.map(|name| (name, 9)).into(),
            platform: Platform::Available,
            fence: 0,
            requests: Vec::new(),
            late: Vec::new(),
            record: None,
            confirming: "m2",
            confirmed: 9,
            restarted: None,
            late_commands: Vec::new(),
        }
    }

    /// Ends the process and starts the next one, which reads the store.
    pub(crate) fn restart(&mut self) {
        let mut next = PoolHarness::restart_as("vm-1", &PEERS, confirmed_config(1));
        next.revision = self.harness.revision;
        next.term = self.harness.term;
        next.paused = std::mem::take(&mut self.harness.paused);
        self.harness = next;
        self.publish_members();
        let record = self.record.clone().map(ObjectValue::Fleet);
        self.harness
            .change_object(ObjectKind::Fleet, GROUP_RECORD, record);
    }

    pub(crate) fn pause(&mut self, member: &str) {
        let term = self.harness.term.next();
        self.harness.paused.insert(member.to_owned(), term);
    }

    /// Lets the store change a record of the fleet.
    pub(crate) fn change_record(&mut self, name: &str, record: FleetRecord) {
        let record = Some(ObjectValue::Fleet(record));
        self.harness.change_object(ObjectKind::Fleet, name, record);
    }

    /// Records a member that is gone and may have confirmed commits, beside those that are registered.
    pub(crate) fn record_former_member(&mut self) {
        let holders = [PRIMARY, "m2", "m3", "m9"].map(|name| (name.into(), None));
        let holders = FleetRecord::CommitHolders(holders.into());
        self.change_record("holders.ledger-1", holders);
    }

    /// Takes the primary down and lets a caller notice it.
    pub(crate) fn lose_primary(&mut self) {
        self.down = vec![PRIMARY];
        self.write();
    }

    /// Lets a caller send a write, which detects that a member is down or not the primary.
    pub(crate) fn write(&mut self) {
        let caller = self.harness.open_session("primary-db");
        self.harness.query(caller, "WRITE x 1");
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.harness.advance(5);
            self.answer_members();
            answer_contact_requests(&mut self.harness, None);
            self.record = latest_claim(&self.harness).or(self.record.take());
            grant_writes(&mut self.harness);
            for action in std::mem::take(&mut self.harness.other_actions) {
                if let PoolAction::Promote { member, token, .. } = action {
                    self.requested(&member, token);
                }
            }
        }
    }

    pub(crate) fn answer_members(&mut self) {
        let links = self.harness.links.iter();
        let dead = links.filter(|(_, link)| self.down.contains(&link.member.as_str()));
        let dead: Vec<ConnectionId> = dead.map(|(id, _)| *id).collect();
        for link in dead {
            self.harness.links.remove(&link);
            self.harness.event(PoolEvent::LinkClosed { link });
        }
        self.harness.accept_links();
        for name in MEMBERS {
            while let Some((link, command)) = self.harness.take_command(name) {
                match command {
                    MemberCommand::StepDown(term) if term > self.harness.term => {
                        self.primary = self.primary.filter(|primary| *primary != name);
                    }
                    _ => {}
                }
                if self.restarted == Some(name) {
                    self.harness.paused.remove(name);
                }
                let is_primary = self.primary == Some(name);
                let received = self.received[name];
                match command {
                    MemberCommand::Status
                    | MemberCommand::Pause(_)
                    | MemberCommand::StepDown(_) => {
                        self.harness.report_status(link, is_primary, received);
                    }
                    MemberCommand::Forward { .. } | MemberCommand::Begin { .. } if !is_primary => {
                        let state = TransactionState::Idle;
                        self.harness.refuse(link, MemberFault::ReadOnly, state);
                    }
                    _ => self.harness.succeed(link, TransactionState::Idle, received),
                }
            }
        }
    }

    fn requested(&mut self, member: &MemberId, token: u64) {
        self.requests.push((member.to_string(), token));
        let is_accepted =
            self.platform == Platform::Available && self.carry_out(member.as_str(), token);
        if self.platform == Platform::Late {
            self.late.push((member.to_string(), token));
        }
        let outcome = match self.platform {
            Platform::Available if is_accepted => PromotionOutcome::Accepted,
            Platform::Available | Platform::Refusing => PromotionOutcome::Refused,
            Platform::Unavailable | Platform::Late => PromotionOutcome::Unknown,
        };
        self.harness.event(PoolEvent::PromotionAnswered {
            group: GroupId::from(GROUP),
            token,
            outcome,
        });
    }

    /// Carries out a promotion unless the platform has seen a later token or the member is down.
    pub(crate) fn carry_out(&mut self, member: &str, token: u64) -> bool {
        if token < self.fence {
            return false;
        }
        self.fence = token;
        let is_running = MEMBERS.contains(&member) && !self.down.contains(&member);
        if is_running && self.primary != Some(member) {
            self.promote(member);
        }
        is_running
    }

    /// Makes a member the primary of the next term, in which no replica is paused.
    pub(crate) fn promote(&mut self, member: &str) {
        let received = self.received[member];
        assert!(received >= self.confirmed, "{member} lacks commits");
        for other in self.received.values_mut() {
            *other = received.min(*other);
        }
        self.harness.term = self.harness.term.next();
        self.harness.paused.clear();
        self.primary = MEMBERS.into_iter().find(|name| *name == member);
        self.publish_members();
    }

    fn publish_members(&mut self) {
        for name in MEMBERS {
            let entry = ObjectValue::Member(member(name, self.primary == Some(name)));
            self.harness
                .change_object(ObjectKind::Members, name, Some(entry));
        }
    }

    /// Lets the primary commit once, if it is up. The replicas that are not paused receive the commit.
    pub(crate) fn commit(&mut self) {
        let Some(primary) = self.primary.filter(|name| !self.down.contains(name)) else {
            return;
        };
        let committed = self.received[primary] + 1;
        self.received.insert(primary, committed);
        for name in MEMBERS {
            let is_receiving = name != primary
                && !self.down.contains(&name)
                && !self.harness.paused.contains_key(name);
            if is_receiving {
                let lag = if name == self.confirming { 0 } else { 3 };
                let received = self.received[name].max(committed - lag);
                self.received.insert(name, received);
                self.confirmed = self.confirmed.max(received);
            }
        }
    }

    /// Carries out the commands that have been on their way for long.
    pub(crate) fn deliver_late_commands(&mut self) {
        for (name, command) in std::mem::take(&mut self.late_commands) {
            match command {
                MemberCommand::Pause(term)
                    if term > self.harness.term && self.primary != Some(name) =>
                {
                    self.harness.paused.insert(name.to_owned(), term);
                }
                MemberCommand::StepDown(term) if term > self.harness.term => {
                    self.primary = self.primary.filter(|primary| *primary != name);
                }
                _ => {}
            }
        }
    }

    pub(crate) fn requested_members(&self) -> Vec<&str> {
        let names = self.requests.iter().map(|(member, _)| member.as_str());
        names.collect()
    }
}
