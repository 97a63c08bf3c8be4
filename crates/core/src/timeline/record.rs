//! A recorded event and what it is about.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::timeline::EventCode;
use crate::timeline::Evidence;
use crate::timeline::HybridTime;
use crate::types::CallerId;
use crate::types::DataCentreId;
use crate::types::GroupId;
use crate::types::Incarnation;
use crate::types::MemberId;
use crate::types::Outcome;
use crate::types::Reason;
use crate::types::RequestId;
use crate::types::Term;
use crate::types::VmId;
use crate::types::WorkspaceId;

/// Identifies a session in recorded events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SessionId(pub u64);

/// The process that recorded an event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// The VM on which the process runs.
    pub vm: VmId,
    /// The incarnation of the VM; distinguishes the process from those before a restart.
    pub incarnation: Incarnation,
    /// The data centre in which the VM runs.
    pub data_centre: DataCentreId,
}

/// What an event is about. Fields that do not apply to the event are `None`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Subject {
    /// The database group concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub group: Option<GroupId>,
    /// The workspace whose caller, request or key is concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// The session to which the request or caller belongs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub session: Option<SessionId>,
    /// The request; its number is unique only on the recording VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The caller; its number is unique only on the recording VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub caller: Option<CallerId>,
    /// The data centre concerned, which need not be that of the recording VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
    /// The VM concerned, if it is not the recording VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmId>,
    /// The group member concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub member: Option<MemberId>,
    /// The term of the group to which the event belongs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub term: Option<Term>,
    /// The version of the roster or of the configuration.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// The outcome of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    /// The reason for the decision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Further facts on which the decision is based. Boxed, because only the rare events of
    /// failover and membership have evidence, and inline it would make each record in the ring
    /// buffer several times as large.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub evidence: Option<Box<Evidence>>,
}

/// An event as the ring buffer of a process holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The sequence number of the event in its process; consecutive, without gaps.
    pub sequence: u64,
    /// When the event happened, as a causally ordered timestamp.
    pub time: HybridTime,
    /// What happened.
    pub code: EventCode,
    /// What the event is about.
    #[serde(flatten)]
    pub subject: Subject,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.vm, self.incarnation)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fn write_field<T: fmt::Display>(
            f: &mut fmt::Formatter<'_>,
            name: &str,
            value: &Option<T>,
        ) -> fmt::Result {
            match value {
                Some(value) => write!(f, " {name}={value}"),
                None => Ok(()),
            }
        }
        write_field(f, "group", &self.group)?;
        write_field(f, "workspace", &self.workspace)?;
        write_field(f, "session", &self.session.map(|session| session.0))?;
        write_field(f, "request", &self.request)?;
        write_field(f, "caller", &self.caller)?;
        write_field(f, "data_centre", &self.data_centre)?;
        write_field(f, "vm", &self.vm)?;
        write_field(f, "member", &self.member)?;
        write_field(f, "term", &self.term)?;
        write_field(f, "version", &self.version)?;
        write_field(f, "outcome", &self.outcome.map(outcome_name))?;
        if let Some(reason) = self.reason {
            write!(f, " reason=\"{reason}\"")?;
        }
        match &self.evidence {
            Some(evidence) => evidence.fmt(f),
            None => Ok(()),
        }
    }
}

fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            sequence,
            time,
            code,
            subject,
        } = self;
        write!(f, "{time} #{sequence} {code}{subject}")
    }
}
