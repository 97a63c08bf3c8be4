//! Adapts the decision logic of `lycheedoor_core` to the interface that the actors use.

use std::net::SocketAddr;

use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::types::GroupId;
use lycheedoor_core::types::MemberId;
use lycheedoor_core::types::MonoTime;
use lycheedoor_core::vm::Vm;
use lycheedoor_core::vm::VmAction;
use lycheedoor_core::vm::VmEvent;
use lycheedoor_http::Request;
use lycheedoor_operator::handle_request;
use lycheedoor_telemetry::MetricsHandle;

use crate::decision_logic::DecisionLogic;
use crate::observer::Observer;
use crate::operator_view::VmView;

/// Passes events to a [`Vm`] and reports what it does to logs and metrics.
pub struct VmDecisionLogic {
    vm: Vm,
    metrics: MetricsHandle,
    observer: Observer,
}

impl VmDecisionLogic {
    /// Creates the adapter; `metrics` is rendered for operators and gets its regular upkeep here.
    pub fn new(vm: Vm, metrics: MetricsHandle) -> Self {
        Self {
            vm,
            metrics,
            observer: Observer::default(),
        }
    }
}

impl DecisionLogic for VmDecisionLogic {
    fn handle(&mut self, now: MonoTime, event: VmEvent, actions: &mut Vec<VmAction>) {
        self.vm.handle(now, event, actions);
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        self.vm.next_deadline()
    }

    fn member_address(&self, group: &GroupId, member: &MemberId) -> Option<SocketAddr> {
        self.vm.member_address(group, member)
    }

    fn answer_operator(&self, now: MonoTime, request: &Request, out: &mut Vec<u8>) {
        let view = VmView {
            vm: &self.vm,
            now,
            metrics: &self.metrics,
        };
        handle_request(request, &view, out);
    }

    fn observe(&mut self, now: MonoTime) {
        self.observer.observe(&self.vm, now);
        self.metrics.run_upkeep();
    }

    fn next_timestamp(&mut self, now: MonoTime) -> HybridTime {
        self.vm.next_timestamp(now)
    }

    fn observe_timestamp(&mut self, now: MonoTime, clock: HybridTime) {
        self.vm.observe_timestamp(now, clock);
    }
}
