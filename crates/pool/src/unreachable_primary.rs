//! Statements that need a primary which this VM cannot reach although another VM reaches it.
//!
//! Such a primary is not replaced. The load is that of a partition between the primary and some
//! VMs: without this, the statements of all workspaces whose home is one of them would wait until
//! their timeout. They run at the VM that reaches the primary instead; those that came from another
//! VM go back to it, which chooses the next home.

use lycheedoor_core::types::CallerId;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::types::VmId;

use crate::config::Consistency;
use crate::config::RouteRule;
use crate::event::PoolAction;
use crate::forward::ForwardedOutcome;
use crate::pool::Pool;
use crate::remote::is_remote;
use crate::session::Operation;
use crate::statement::Access;

impl Pool {
    /// Returns the VM that reaches the primary of a group; `None` if this one does, or if none is
    /// known to.
    pub(crate) fn vm_that_reaches_primary(&self, now: MonoTime, group: &GroupId) -> Option<VmId> {
        let group = self.groups.get(group)?;
        let primary = group.members.get(group.primary.as_ref()?)?;
        primary.down_since?;
        let vm = group.primary_reached_by.clone()?;
        (self.roster.get(&vm).is_some() && self.is_peer_available(now, &vm)).then_some(vm)
    }

    /// Moves the waiting statements that need the primary of a group to a VM that reaches it. Those
    /// of transactions stay, because their other statements belong to this VM.
    pub(crate) fn move_waiting_to_reaching_vm(
        &mut self,
        now: MonoTime,
        id: &GroupId,
        actions: &mut Vec<PoolAction>,
    ) {
        let Some(vm) = self.vm_that_reaches_primary(now, id) else {
            return;
        };
        let needs_primary = |caller: &CallerId| {
            let session = self.sessions.get(caller);
            session.is_some_and(|session| {
                let current = session.current.as_ref();
                session.transaction.is_none()
                    && current.is_some_and(|current| current.needs_primary)
            })
        };
        let waiting = self.groups.get(id).map(|group| group.waiting.as_slice());
        let waiting = waiting.unwrap_or_default().iter().copied();
        let moved: Vec<CallerId> = waiting.filter(needs_primary).collect();
        for caller in moved {
            self.leave_queue(caller, id);
            if is_remote(caller) {
                self.return_to_sender(now, caller, actions);
            } else {
                self.forward_statement(now, caller, vm.clone(), actions);
            }
        }
    }

    /// Gives a statement that has not run back to the VM that forwarded it.
    fn return_to_sender(&mut self, now: MonoTime, caller: CallerId, actions: &mut Vec<PoolAction>) {
        if let Some(sender) = self.remote_callers.get(&caller).cloned() {
            self.send_forwarded_reply(&sender, ForwardedOutcome::NotAccepted, actions);
            self.drop_remote_session(now, caller, actions);
        }
    }
}

/// Returns whether an operation outside of a transaction will need the primary.
pub(crate) fn will_need_primary(operation: &Operation, route: &RouteRule) -> bool {
    let may_write = match operation {
        Operation::Begin { read_only } => !read_only,
        _ => operation.access() == Access::Write,
    };
    may_write || route.consistency == Consistency::Primary
}
