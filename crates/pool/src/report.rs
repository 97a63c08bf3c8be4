//! What the pool reports to operators in the log and the metrics.

use std::time::Duration;

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::Incarnation;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::VmId;
use lycheedoor_core::types::WorkspaceId;

use crate::statement::Access;
use crate::statement::CallerError;
use crate::statement::MemberFault;
use crate::store::ObjectKind;
use crate::store_revision::StoreRevision;
use crate::usage_report::UsageNote;

/// An occurrence that is written to the log, counted in the metrics, or both.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// An occurrence of usage reporting.
    Usage(UsageNote),
    /// A new version of the configuration is in force.
    ConfigurationApplied {
        /// The version of the configuration.
        version: u64,
    },
    /// An object of the store cannot be used and is ignored.
    ObjectUnusable {
        /// The kind of object.
        kind: ObjectKind,
        /// The name of the object in the store.
        name: String,
        /// Why the object cannot be used.
        error: String,
    },
    /// A member's entry in the store has changed.
    MemberChanged {
        /// The group of the member.
        group: GroupId,
        /// The member whose entry has changed.
        member: MemberId,
        /// The state of the entry: `present`, `draining` or `gone`.
        state: &'static str,
        /// Whether the member reports itself as the primary.
        claims_primary: bool,
        /// The store revision of the entry.
        revision: StoreRevision,
    },
    /// This VM now takes another member, or none, for the primary of a group.
    PrimaryChanged {
        /// The group whose primary has changed.
        group: GroupId,
        /// The new primary; `None` when none is known.
        member: Option<MemberId>,
        /// The store revision of the claim or promotion that names the primary, or revision 0 when
        /// none is known.
        evidence: StoreRevision,
    },
    /// A member does not answer and is considered down.
    MemberSuspected {
        /// The group of the member.
        group: GroupId,
        /// The member that does not answer.
        member: MemberId,
        /// How this VM detected it.
        cause: &'static str,
        /// Time since the last answer; zero if there never was one.
        silence: Duration,
    },
    /// A member that was considered down answers again.
    MemberBack {
        /// The group of the member.
        group: GroupId,
        /// The member that answers again.
        member: MemberId,
        /// How long the member was considered down.
        outage: Duration,
    },
    /// A member that had started or recovered now gets this VM's full share of its load.
    MemberAtPace {
        /// The group of the member.
        group: GroupId,
        /// The member that has reached its pace.
        member: MemberId,
        /// Time since it began.
        taken: Duration,
        /// How often the load was reduced in between because the member refused or was slow.
        cuts: u32,
    },
    /// A member is left to probes; reads run elsewhere.
    MemberLeftOut {
        /// The group of the member.
        group: GroupId,
        /// The member that answers badly.
        member: MemberId,
        /// The evidence.
        cause: &'static str,
        /// How many other VMs have found the same.
        agreeing: usize,
    },
    /// A member that was left to probes is used again.
    MemberReadmitted {
        /// The group of the member.
        group: GroupId,
        /// The member that answers well again.
        member: MemberId,
        /// How long it was left to probes.
        after: Duration,
    },
    /// A read whose answer was overdue is repeated over another connection.
    ReadMoved {
        /// The group of the member.
        group: GroupId,
        /// The member that has not answered.
        member: MemberId,
    },
    /// A step in the replacement of a primary.
    Failover {
        /// The group whose primary is replaced.
        group: GroupId,
        /// A description of the step.
        step: &'static str,
        /// The member that the step concerns; `None` when no primary is known.
        member: Option<MemberId>,
        /// The fencing token, or 0 before there is one.
        token: u64,
    },
    /// The record of the members of a group that may hold confirmed commits was written.
    CommitHolders {
        /// The group of the members.
        group: GroupId,
        /// The number of the members.
        members: usize,
    },
    /// Statements of a priority lack room at a member, where lower ones are now held back.
    RoomWanted {
        /// The group of the member.
        group: GroupId,
        /// The member that is short of room.
        member: MemberId,
        /// The priority that lacks room; 0 is the highest.
        priority: u8,
    },
    /// A caller got an error instead of a result.
    StatementFailed {
        /// The caller that sent the statement.
        caller: CallerId,
        /// The identifier that the caller gave the statement.
        id: String,
        /// The workspace of the caller.
        workspace: WorkspaceId,
        /// The group of the route; `None` if the statement has no route.
        group: Option<GroupId>,
        /// The member that the statement was last assigned to; `None` if there was none.
        member: Option<MemberId>,
        /// The latest refusal by a member that did not run the statement; `None` without one.
        last_fault: Option<MemberFault>,
        /// The number of attempts that ended without a result.
        attempts: u32,
        /// The error that the caller got.
        error: CallerError,
        /// Why the statement failed.
        cause: &'static str,
        /// The version of the configuration in force.
        version: u64,
        /// Time since the statement arrived.
        elapsed: Duration,
    },
    /// A caller got the result of a statement from a member.
    StatementDone {
        /// The workspace of the caller.
        workspace: WorkspaceId,
        /// The database that the caller opened, which names the route.
        route: String,
        /// The group whose member ran the statement.
        group: GroupId,
        /// Whether the statement reads or writes.
        access: Access,
        /// Whether the primary ran the statement.
        by_primary: bool,
        /// Time from the arrival of the statement until it was assigned to a connection.
        waited: Duration,
        /// Time since the statement arrived.
        elapsed: Duration,
    },
    /// A caller got its result later than the latency objective of the route.
    StatementLate {
        /// The caller that sent the statement.
        caller: CallerId,
        /// The identifier that the caller gave the statement.
        id: String,
        /// The group whose member ran the statement.
        group: GroupId,
        /// The member that ran the statement.
        member: MemberId,
        /// The latest refusal by a member that did not run the statement; `None` without one.
        last_fault: Option<MemberFault>,
        /// The number of earlier attempts, which ended without a result.
        attempts: u32,
        /// Time from the arrival of the statement until it was assigned to a connection.
        waited: Duration,
        /// Time since the statement arrived.
        elapsed: Duration,
    },
    /// A VM has not answered for so long that its record is removed from the store.
    VmRemoved {
        /// The VM whose record is removed.
        vm: VmId,
        /// Time since the last answer of the VM.
        silence: Duration,
    },
    /// Another VM does not accept statements; they run elsewhere.
    PeerUnavailable {
        /// The VM that does not accept statements.
        vm: VmId,
        /// How this VM noticed it.
        cause: &'static str,
    },
    /// A VM that did not accept statements has run one.
    PeerAvailable {
        /// The VM that accepts statements again.
        vm: VmId,
    },
    /// A reply of another VM to a forwarded statement was not used.
    ReplyIgnored {
        /// The VM that replied.
        vm: VmId,
        /// The incarnation of the process that forwarded the statement.
        incarnation: Incarnation,
        /// The session that sent the statement.
        session: CallerId,
        /// The number of the statement.
        request: RequestId,
        /// Why the reply was not used.
        cause: &'static str,
    },
    /// The configuration of a statement's home leads to another group than the one of this VM, which
    /// runs the statement itself.
    RouteDiffers {
        /// The home.
        vm: VmId,
        /// The group by the configuration of this VM.
        group: GroupId,
        /// The version of that configuration.
        version: u64,
    },
    /// This VM reads changes of the store from another source.
    StoreSource {
        /// The VM that passes on what it reads; `None` if this VM reads the store itself.
        relay: Option<VmId>,
    },
    /// The VM that passed on what it reads from the store has failed.
    RelayLost {
        /// The VM that has failed.
        vm: VmId,
        /// How this VM noticed it.
        cause: &'static str,
    },
    /// A watch did not return changes that the store has.
    WatchLost {
        /// The kind of object that was watched.
        kind: ObjectKind,
        /// The revision from which the watch continued.
        since: StoreRevision,
    },
    /// The store has come back from an older copy.
    StoreRestored {
        /// The era that has begun.
        era: u64,
    },
    /// Objects that were known are missing in the copy from which the store has come back; they are
    /// still in use.
    RestoredObjectMissing {
        /// The kind of object.
        kind: ObjectKind,
        /// The name of the object.
        name: String,
    },
    /// An object that was missing in the copy was not written again in time and is not used any longer.
    RestoredObjectDropped {
        /// The kind of object.
        kind: ObjectKind,
        /// The name of the object.
        name: String,
    },
    /// The store answers again.
    StoreBack {
        /// How long reads from the store failed.
        outage: Duration,
    },
    /// A graceful shutdown has begun.
    StopStarted {
        /// The number of open sessions.
        sessions: usize,
    },
    /// A graceful shutdown is complete.
    StopFinished {
        /// The number of sessions still open, which are cut off.
        sessions: usize,
    },
}
