//! The facts on which a decision is based, beyond its subject and reason.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::failover::CancelEvidence;
use crate::failover::IntentCause;
use crate::failover::PromotionEvidence;
use crate::failover::SilenceEvidence;
use crate::membership::LossCause;
use crate::types::MemberId;
use crate::types::Position;
use crate::types::Term;
use crate::types::VmId;

/// A group member that refuses commands of the term that is to end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedMember {
    /// The member that is fenced.
    pub member: MemberId,
    /// The position up to which it has received the log.
    pub received: Position,
}

/// The evidence for a decision. Fields that do not apply are `None` or empty. They are serialized
/// all the same, because binary formats without field names identify fields by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evidence {
    /// How long the primary has not answered, in microseconds.
    pub silent_us: Option<u64>,
    /// The time since the answered request was sent to the primary, in microseconds.
    pub answer_age_us: Option<u64>,
    /// The observers that receive no answers from the primary.
    pub agreeing: Vec<VmId>,
    /// The number of observers of the group.
    pub observers: Option<usize>,
    /// The term for which a member was already fenced when the intent was opened.
    pub fenced_term: Option<Term>,
    /// The fenced members, with the positions up to which they have received the log.
    pub fenced: Vec<FencedMember>,
    /// The VMs that acknowledged the change before it was acted on.
    pub acknowledged: Vec<VmId>,
    /// Whether leases had to expire because a VM did not acknowledge the change.
    pub waited_for_leases: Option<bool>,
    /// Why the membership lease was lost.
    pub loss: Option<LossCause>,
}

impl Evidence {
    /// Returns the evidence for suspecting a primary that has not answered for this long.
    pub fn silent(silent: Duration) -> Self {
        Self {
            silent_us: Some(micros(silent)),
            ..Self::default()
        }
    }

    /// Returns the evidence for the loss of a lease.
    pub fn loss(cause: LossCause) -> Self {
        Self {
            loss: Some(cause),
            ..Self::default()
        }
    }

    /// Returns the evidence for a member that confirmed that it is fenced.
    pub fn fenced(member: MemberId, received: Position) -> Self {
        Self {
            fenced: vec![FencedMember { member, received }],
            ..Self::default()
        }
    }
}

impl From<SilenceEvidence> for Evidence {
    fn from(evidence: SilenceEvidence) -> Self {
        Self {
            agreeing: evidence.agreeing,
            observers: Some(evidence.observers),
            ..Self::silent(evidence.silent)
        }
    }
}

impl From<IntentCause> for Evidence {
    fn from(cause: IntentCause) -> Self {
        match cause {
            IntentCause::PrimarySilent(evidence) => evidence.into(),
            IntentCause::MemberFenced { term, .. } => Self {
                fenced_term: Some(term),
                ..Self::default()
            },
            // The reason in the record's subject says why a healthy primary is replaced.
            IntentCause::PlannedMove { .. } => Self::default(),
        }
    }
}

impl From<CancelEvidence> for Evidence {
    fn from(evidence: CancelEvidence) -> Self {
        let CancelEvidence::PrimaryAnswered { age } = evidence;
        Self {
            answer_age_us: Some(micros(age)),
            ..Self::default()
        }
    }
}

impl From<PromotionEvidence> for Evidence {
    fn from(evidence: PromotionEvidence) -> Self {
        let fenced = evidence.fenced.into_iter();
        let fenced = fenced.map(|(member, received)| FencedMember { member, received });
        let acknowledged = evidence.settlement.acknowledged.into_iter();
        Self {
            fenced: fenced.collect(),
            acknowledged: acknowledged.map(|key| key.vm).collect(),
            waited_for_leases: Some(evidence.settlement.waited),
            ..Self::default()
        }
    }
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_field(f, "silent_us", self.silent_us)?;
        write_field(f, "answer_age_us", self.answer_age_us)?;
        write_list(f, "agreeing", &self.agreeing)?;
        write_field(f, "observers", self.observers)?;
        write_field(f, "fenced_term", self.fenced_term)?;
        write_list(f, "fenced", &self.fenced)?;
        write_list(f, "acknowledged", &self.acknowledged)?;
        write_field(f, "waited_for_leases", self.waited_for_leases)?;
        write_field(f, "loss", self.loss)
    }
}

impl fmt::Display for FencedMember {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.member, self.received)
    }
}

fn write_field(
    f: &mut fmt::Formatter<'_>,
    name: &str,
    value: Option<impl fmt::Display>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {name}={value}"),
        None => Ok(()),
    }
}

fn write_list(f: &mut fmt::Formatter<'_>, name: &str, values: &[impl fmt::Display]) -> fmt::Result {
    for (index, value) in values.iter().enumerate() {
        match index {
            0 => write!(f, " {name}={value}")?,
            _ => write!(f, ",{value}")?,
        }
    }
    Ok(())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
