//! Failure detection of primaries and promotion of replicas.
//!
//! The observers of a group probe its members. When a majority of them gets no answer from the
//! primary, the promoter, which is one of them, opens an intent in the fence; from then on no VM
//! acknowledges anything in the old term. Until the detection time has passed, any VM that gets an
//! answer from the primary cancels the intent. After that the intent enters the fencing phase:
//! members are fenced, so that they refuse the old term, and the intent can only be completed, by
//! any observer. If several try, the conditional update of the fence lets one of them succeed.

mod event;
mod intent;
mod message;
mod observe;
mod observed;
mod observers;
mod pause;
mod planned;
mod promote;
mod role;
mod settings;

pub use event::CancelEvidence;
pub use event::FailoverAction;
pub use event::FailoverEvent;
pub use event::IntentCause;
pub use event::PromotionEvidence;
pub use event::SilenceEvidence;
pub use message::FailoverMessage;
pub use observers::fence_quorum;
pub use observers::observers;
pub use role::Failover;
pub use settings::FailoverSettings;
pub use settings::MoveSettings;
