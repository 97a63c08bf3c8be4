//! The border between the actors and the decision logic.

use std::net::SocketAddr;

use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;

/// Decision logic that the actors drive.
pub trait DecisionLogic {
    /// Takes an event and appends the actions to carry out.
    fn handle(&mut self, now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>);

    /// Returns when `DeadlineReached` has to be reported, if at all.
    fn next_deadline(&self) -> Option<MonoTime>;

    /// Returns where a member of a group listens.
    fn member_address(&self, group: &GroupId, member: &MemberId) -> Option<SocketAddr>;

    /// Answers a request of an operator: appends the bytes of the response to `out`.
    fn answer_operator(&self, now: MonoTime, request: &Request, out: &mut Vec<u8>);

    /// Reports to logs and metrics what is new; called about once a second and before the exit.
    fn observe(&mut self, _now: MonoTime) {}

    /// Returns the stamp of the hybrid logical clock for a message that is sent now.
    fn next_timestamp(&mut self, _now: MonoTime) -> HybridTime {
        HybridTime::default()
    }

    /// Takes the stamp of a received message into the hybrid logical clock.
    fn observe_timestamp(&mut self, _now: MonoTime, _clock: HybridTime) {}
}
