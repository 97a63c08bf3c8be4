//! An event log across all processes, in causal order.
//!
//! Each process records typed events in a ring buffer of fixed capacity, with timestamps of a
//! hybrid logical clock that messages between processes carry along. The buffers of all processes
//! are merged into one causally ordered timeline, in which lost events appear as gaps.

mod clock;
mod code;
mod evidence;
mod explain;
mod filter;
mod merge;
mod record;
mod ring;

pub use clock::HybridClock;
pub use clock::HybridTime;
pub use clock::MAX_CLOCK_LEAD;
pub use clock::WallTime;
pub use code::EventCode;
pub use code::ParseEventCodeError;
pub use evidence::Evidence;
pub use evidence::FencedMember;
pub use explain::Explanation;
pub use explain::explain_promotion;
pub use explain::explain_read;
pub use explain::explain_refusal;
pub use filter::Filter;
pub use merge::Entry;
pub use merge::Gap;
pub use merge::merge;
pub use record::Process;
pub use record::Record;
pub use record::SessionId;
pub use record::Subject;
pub use ring::Export;
pub use ring::Timeline;
