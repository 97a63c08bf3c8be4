//! The interface between the actors and the decision logic.

use std::net::SocketAddr;

use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;

/// Decision logic that receives events from the actors and returns the actions to carry out.
pub trait DecisionLogic {
    /// Handles an event and appends the actions to carry out.
    fn handle(&mut self, now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>);

    /// Returns the time at which `VmEvent::DeadlineReached` has to be reported, or `None` if no
    /// deadline is set.
    fn next_deadline(&self) -> Option<MonoTime>;

    /// Returns the address of a member of a group, or `None` if it is not known.
    fn member_address(&self, group: &GroupId, member: &MemberId) -> Option<SocketAddr>;

    /// Answers a request of an operator by appending the encoded HTTP response to `out`.
    fn answer_operator(&self, now: MonoTime, request: &Request, out: &mut Vec<u8>);

    /// Reports to logs and metrics what happened since the last call; called about once a second
    /// and before the process exits.
    fn observe(&mut self, _now: MonoTime) {}

    /// Returns the timestamp of the hybrid logical clock for a message that is sent now.
    fn next_timestamp(&mut self, _now: MonoTime) -> HybridTime {
        HybridTime::default()
    }

    /// Advances the hybrid logical clock to the timestamp of a received message.
    fn observe_timestamp(&mut self, _now: MonoTime, _clock: HybridTime) {}
}
