//! Two VMs of a fleet, one of which forwards its statements to the other one.

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::VmId;
use lycheedoor_pool::CallerError;
use lycheedoor_pool::CallerReply;
use lycheedoor_pool::MemberCommand;
use lycheedoor_pool::PoolAction;
use lycheedoor_pool::PoolConfig;
use lycheedoor_pool::PoolEvent;
use lycheedoor_pool::TransactionState;

use super::PRIMARY;
use super::PoolHarness;
use super::config;

pub(crate) const ENTRY: &str = "vm-2";
pub(crate) const HOME: &str = "vm-1";

/// Two VMs of a fleet: the one that callers are connected to, and the home of their workspace.
pub(crate) struct Pair {
    pub(crate) entry: PoolHarness,
    pub(crate) home: PoolHarness,
}

impl Pair {
    pub(crate) fn new() -> Self {
        Self::with_config(config(1))
    }

    pub(crate) fn with_config(config: PoolConfig) -> Self {
        let mut pair = Self {
            entry: PoolHarness::start_as(ENTRY, &[HOME], config.clone()),
            home: PoolHarness::start_as(HOME, &[ENTRY], config),
        };
        // The buckets of a VM fill after its start.
        pair.entry.advance(1_000);
        pair.home.advance(1_000);
        pair
    }

    /// Delivers messages in both directions until there are none.
    pub(crate) fn deliver(&mut self) {
        while deliver(&mut self.entry, &mut self.home) || deliver(&mut self.home, &mut self.entry) {
        }
    }

    /// Sends a statement and lets the home's members answer it.
    pub(crate) fn run(&mut self, caller: CallerId, text: &str, number: u64) {
        self.entry.query(caller, text);
        self.deliver();
        self.home.answer_all_commands(number);
        self.deliver();
    }

    /// Opens a transaction that has run one statement at the home.
    pub(crate) fn open_transaction(&mut self) -> CallerId {
        let caller = self.entry.open_session("primary-db");
        self.begin_transaction(caller);
        caller
    }

    /// Begins a transaction of a caller and runs one statement of it at the home.
    pub(crate) fn begin_transaction(&mut self, caller: CallerId) {
        self.run(caller, "BEGIN", 1);
        self.entry.query(caller, "WRITE x 1");
        self.deliver();
        self.home.accept_links();
        while let Some((link, _)) = self.home.take_command(PRIMARY) {
            self.home.succeed(link, TransactionState::Open, 1);
        }
        self.deliver();
        assert!(self.entry.links.is_empty());
    }

    pub(crate) fn lose_home(&mut self) {
        let vm = VmId::from(HOME);
        let unsent = Vec::new();
        self.entry.event(PoolEvent::PeerLost { vm, unsent });
    }

    pub(crate) fn error(&self, caller: CallerId) -> Option<CallerError> {
        match self.entry.last_reply(caller) {
            Some(CallerReply::Failed { error, .. }) => Some(*error),
            _ => None,
        }
    }

    pub(crate) fn is_done(&self, caller: CallerId) -> bool {
        matches!(
            self.entry.last_reply(caller),
            Some(CallerReply::Done { .. })
        )
    }
}

pub(crate) fn deliver(from: &mut PoolHarness, to: &mut PoolHarness) -> bool {
    let sent = take_messages(from);
    let is_any = !sent.is_empty();
    for event in sent {
        to.event(event);
    }
    is_any
}

/// Takes the messages that a pool has sent, as the events with which they arrive.
pub(crate) fn take_messages(from: &mut PoolHarness) -> Vec<PoolEvent> {
    let is_message = |action: &mut PoolAction| {
        matches!(
            action,
            PoolAction::SendPeer { .. } | PoolAction::AnswerPeer { .. }
        )
    };
    let actions = from.other_actions.extract_if(.., is_message);
    let messages = actions.filter_map(|action| match action {
        PoolAction::SendPeer { message, .. } | PoolAction::AnswerPeer { message, .. } => {
            Some(message)
        }
        _ => None,
    });
    let arrived = messages.map(|message| PoolEvent::PeerSent {
        from: from.vm.clone(),
        incarnation: from.incarnation,
        message,
    });
    arrived.collect()
}

pub(crate) fn has_open_transaction(harness: &PoolHarness) -> bool {
    let is_rollback = |command: &MemberCommand| *command == MemberCommand::Rollback;
    let mut links = harness.links.values();
    !links.any(|link| link.sent.iter().any(is_rollback))
}
