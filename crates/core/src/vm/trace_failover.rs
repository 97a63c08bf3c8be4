//! The steps of failovers that a VM records on its timeline.

use crate::failover::FailoverAction;
use crate::failover::IntentCause;
use crate::timeline::EventCode;
use crate::timeline::Evidence;
use crate::timeline::Subject;
use crate::types::GroupId;
use crate::types::MonoTime;
use crate::types::Reason;
use crate::vm::Vm;

impl Vm {
    /// Records a step of a failover with the evidence that it is based on.
    pub(super) fn record_failover(&mut self, now: MonoTime, step: FailoverAction) {
        let no_primary = Some(Reason::NoPrimary);
        let (code, subject) = match step {
            FailoverAction::PrimaryChanged {
                group,
                term,
                member,
                former,
            } => {
                let subject = Subject {
                    term: Some(term),
                    member: Some(member),
                    // The first primary that a VM follows replaces no other, so it has no reason.
                    ..group_subject(group, former.and(no_primary), None)
                };
                (EventCode::PrimaryChanged, subject)
            }
            FailoverAction::Suspected { group, silent } => {
                let evidence = Evidence::silent(silent);
                (
                    EventCode::PrimarySuspected,
                    group_subject(group, no_primary, Some(evidence)),
                )
            }
            FailoverAction::IntentOpened { group, cause } => {
                let reason = match &cause {
                    IntentCause::PlannedMove { reason, .. } => *reason,
                    _ => Reason::NoPrimary,
                };
                (
                    EventCode::IntentWritten,
                    group_subject(group, Some(reason), Some(cause.into())),
                )
            }
            FailoverAction::IntentCancelled { group, evidence } => (
                EventCode::IntentCancelled,
                group_subject(group, Some(Reason::PrimaryAnswers), Some(evidence.into())),
            ),
            FailoverAction::FencingStarted { group, evidence } => (
                EventCode::FencingStarted,
                group_subject(group, no_primary, Some(evidence.into())),
            ),
            FailoverAction::PromotionRequested {
                group,
                member,
                evidence,
            } => {
                let subject = Subject {
                    member: Some(member),
                    ..group_subject(group, no_primary, Some(evidence.into()))
                };
                (EventCode::PromotionRequested, subject)
            }
            FailoverAction::Command { .. }
            | FailoverAction::Send { .. }
            | FailoverAction::RequestChange { .. }
            | FailoverAction::PauseChanged { .. } => return,
        };
        self.record(now, code, subject);
    }
}

fn group_subject(group: GroupId, reason: Option<Reason>, evidence: Option<Evidence>) -> Subject {
    Subject {
        group: Some(group),
        reason,
        evidence: evidence.map(Box::new),
        ..Subject::default()
    }
}
