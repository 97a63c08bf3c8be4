//! Session consistency: the log positions that sessions have seen, and replica selection.
//!
//! A session is a vector with one log position per group. The caller carries it from one VM to
//! another as a signed token. The selector compares it with the positions that the members have
//! reported and chooses the member on which a read runs.

mod base64url;
mod choice;
mod member;
mod secret;
mod selector;
mod token;
mod vector;

pub use choice::MAX_REPLICA_WAIT;
pub use choice::ReadChoice;
pub use choice::ReadQuery;
pub use member::MemberPlacement;
pub use secret::ParseSecretError;
pub use secret::SessionSecrets;
pub use selector::ReplicaSelector;
pub use selector::SelectorEvent;
pub use token::MAX_TOKEN_BYTES;
pub use token::SessionToken;
pub use token::TokenError;
pub use vector::SessionMark;
pub use vector::SessionVector;
pub use vector::Trust;
