//! The messages by which VMs borrow tokens and refill rates from each other.

use serde::Deserialize;
use serde::Serialize;

use crate::types::WorkspaceId;

/// A message between the rate limiters of two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RatesMessage {
    /// Requests and renews loans, and reports on those in force.
    Ask {
        /// The sequence number, which rises with each `Ask` from one VM to another.
        seq: u64,
        /// The loan requests, at most one for each workspace.
        asks: Vec<LoanRequest>,
    },
    /// Answers the `Ask` with the same sequence number.
    Answer {
        /// The sequence number of the `Ask`.
        seq: u64,
        /// The version of the roster that assigns the lender its slots.
        roster_version: u64,
        /// The answers, at most one for each workspace of the `Ask`.
        grants: Vec<Grant>,
    },
}

/// A borrower's request for one workspace, with a report on the loan in force. Amounts are in
/// millitokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// The workspace whose rate limit the loan extends.
    pub workspace: WorkspaceId,
    /// The sequence number of the answer in force at the borrower, which accepts no older one.
    /// `None` if it holds no loan and accepts no answer to an earlier request.
    pub accepted: Option<u64>,
    /// Lent tokens that the borrower has not spent.
    pub unspent: u64,
    /// Tokens that the borrower transfers to the lender with this message.
    pub returned: u64,
    /// The refill rate a second that the borrower requests in total. If it holds more, it has
    /// already stopped using the rest.
    #[serde(rename = "want_stream")]
    pub want_refill_rate: u64,
    /// The tokens that the borrower requests in addition to those it holds.
    pub want_tokens: u64,
}

/// A lender's answer for one workspace. Amounts are in millitokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The workspace of the loan request.
    pub workspace: WorkspaceId,
    /// The lent refill rate a second, which replaces the former one.
    #[serde(rename = "stream")]
    pub refill_rate: u64,
    /// How much the borrower may accrue at the lent refill rate.
    #[serde(rename = "stream_capacity")]
    pub refill_capacity: u64,
    /// What counts as already accrued at the lent refill rate when the loan starts.
    pub fill: u64,
    /// The tokens lent with this message.
    pub tokens: u64,
    /// The tokens that the lender could still lend.
    pub spare: u64,
}
