//! The inputs and outputs of the failover state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::config::Group;
use crate::failover::FailoverMessage;
use crate::membership::Fence;
use crate::membership::FenceChange;
use crate::membership::RosterMemberKey;
use crate::membership::Settlement;
use crate::types::GroupId;
use crate::types::MemberId;
use crate::types::MonoTime;
use crate::types::Nonce;
use crate::types::Position;
use crate::types::Reason;
use crate::types::Term;
use crate::types::VmId;
use crate::vm::MemberCommand;
use crate::vm::MemberState;

/// An input of [`Failover`](crate::failover::Failover).
#[derive(Clone, Debug)]
pub enum FailoverEvent {
    /// The time returned by `Failover::next_deadline` has been reached.
    DeadlineReached,
    /// The groups of the configuration have changed.
    GroupsChanged {
        /// All groups of the cell; groups that are missing here are no longer observed.
        groups: BTreeMap<GroupId, Group>,
    },
    /// The membership role holds a newer fence.
    FenceChanged {
        /// The newer fence; one with a lower version than the current one is ignored.
        fence: Arc<Fence>,
    },
    /// The membership role established that no VM acknowledges anything in the old term of an
    /// intent any more.
    IntentSettled {
        /// The group that the intent belongs to.
        group: GroupId,
        /// Identifies the intent.
        nonce: Nonce,
        /// How this was established.
        settlement: Settlement,
    },
    /// A member answered a statement.
    StatementAnswered {
        /// The group of the member.
        group: GroupId,
        /// The member that answered.
        member: MemberId,
        /// When the statement was sent: the member was certainly up at this time or later.
        sent_at: MonoTime,
    },
    /// A member answered a command.
    CommandAnswered {
        /// The group of the member.
        group: GroupId,
        /// The member that answered.
        member: MemberId,
        /// When the command was sent.
        sent_at: MonoTime,
        /// The command that was answered.
        command: MemberCommand,
        /// The state that the member reported.
        state: MemberState,
    },
    /// A member did not answer a command in time, or refused it.
    CommandFailed {
        /// The group of the member.
        group: GroupId,
        /// The member that the command was sent to.
        member: MemberId,
        /// The command that failed.
        command: MemberCommand,
    },
    /// The set of members that accept no new work has changed.
    AvailabilityChanged {
        /// Why each such member accepts no new work; groups without such members are left out.
        unavailable: BTreeMap<GroupId, BTreeMap<MemberId, Reason>>,
    },
    /// The platform has started or stopped answering the VMs.
    PlatformChanged {
        /// Whether the platform answers.
        serves: bool,
    },
    /// This VM has no work in progress on the primary of a paused group any more.
    GroupQuiesced {
        /// The paused group.
        group: GroupId,
    },
    /// A message of another VM's failover role has arrived.
    PeerReceived {
        /// The sender.
        from: RosterMemberKey,
        /// What the sender reports or requests.
        message: FailoverMessage,
    },
}

/// The evidence that a primary is silent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SilenceEvidence {
    /// The time since the newest answer that any VM reported, or since observation began.
    pub silent: Duration,
    /// The observers that get no answer, this VM included.
    pub agreeing: Vec<VmId>,
    /// The number of observers of the group, whether they agree or not.
    pub observers: usize,
    /// Whether a minority of VMs still gets answers, while a majority of all VMs has had none for
    /// `FailoverSettings::minority_override_timeout`.
    pub answers_minority: bool,
}

/// Why an intent is opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IntentCause {
    /// A majority of the observers gets no answer from the primary.
    PrimarySilent(SilenceEvidence),
    /// A member refuses the current term, so the group needs a new one.
    MemberFenced {
        /// The member that refuses the term.
        member: MemberId,
        /// The term that the member was fenced for.
        term: Term,
    },
    /// The primary is healthy, but accepts no new work.
    PlannedMove {
        /// The current primary.
        member: MemberId,
        /// Why the primary accepts no new work.
        reason: Reason,
    },
}

/// Why an intent is cancelled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelEvidence {
    /// The primary answered a request that this VM sent after it learned of the intent.
    PrimaryAnswered {
        /// The time since the request was sent.
        age: Duration,
    },
}

/// Why it is safe to promote a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromotionEvidence {
    /// The fenced members, each with the position up to which it has received the log.
    pub fenced: Vec<(MemberId, Position)>,
    /// How it was established that no VM acknowledges anything in the old term.
    pub settlement: Settlement,
}

/// An output of [`Failover`](crate::failover::Failover), to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FailoverAction {
    /// Send a command to a member: `Status` to probe it, `Fence`, or `Promote`.
    Command {
        /// The group of the member.
        group: GroupId,
        /// The member to send the command to.
        member: MemberId,
        /// The command to send.
        command: MemberCommand,
    },
    /// Send a message to the failover role of another VM.
    Send {
        /// The receiver.
        to: VmId,
        /// Where the receiver listens.
        address: SocketAddr,
        /// What to send.
        message: FailoverMessage,
    },
    /// Request a change of the fence from the membership role.
    RequestChange {
        /// The requested change.
        change: FenceChange,
    },
    /// The fence names another term or primary.
    PrimaryChanged {
        /// The group whose term or primary changed.
        group: GroupId,
        /// The new term.
        term: Term,
        /// The primary of the new term.
        member: MemberId,
        /// The primary that the fence named before; `None` if the group is new to this VM.
        former: Option<MemberId>,
    },
    /// Stop sending new statements to a group's primary, or resume.
    PauseChanged {
        /// The group to pause or resume.
        group: GroupId,
        /// Whether the group is paused.
        paused: bool,
    },
    /// Report that this VM has begun to suspect a primary.
    Suspected {
        /// The group of the primary.
        group: GroupId,
        /// The time since the newest answer that this VM got, or since it began to observe.
        silent: Duration,
    },
    /// Report that this VM has requested an intent.
    IntentOpened {
        /// The group that the intent belongs to.
        group: GroupId,
        /// Why the group needs a new term.
        cause: IntentCause,
    },
    /// Report that this VM has requested the cancellation of an intent.
    IntentCancelled {
        /// The group that the intent belongs to.
        group: GroupId,
        /// Why the primary need not be replaced.
        evidence: CancelEvidence,
    },
    /// Report that this VM has requested the phase of an intent in which members are fenced.
    FencingStarted {
        /// The group that the intent belongs to.
        group: GroupId,
        /// Why the primary is considered down.
        evidence: SilenceEvidence,
    },
    /// Report that this VM has requested the promotion of a member.
    PromotionRequested {
        /// The group that gets a new term.
        group: GroupId,
        /// The member to promote.
        member: MemberId,
        /// Why the promotion is safe.
        evidence: PromotionEvidence,
    },
}
