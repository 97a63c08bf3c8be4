//! Measures of the sizes of stored objects and messages.

use lycheedoor_core::config::ConfigMessage;
use lycheedoor_core::session::SessionSecrets;
use lycheedoor_core::session::SessionToken;
use lycheedoor_core::session::SessionVector;
use lycheedoor_core::timeline::EventCode;
use lycheedoor_core::timeline::HybridTime;
use lycheedoor_core::timeline::Process;
use lycheedoor_core::timeline::SessionId;
use lycheedoor_core::timeline::Subject;
use lycheedoor_core::timeline::Timeline;
use lycheedoor_core::timeline::WallTime;
use lycheedoor_core::types::Position;
use lycheedoor_core::types::RequestId;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::PeerMessage;

use super::Row;
use crate::sample;
use crate::sample::Size;

const GROUP_COUNTS: [usize; 4] = [3, 100, 400, 2_400];
const WORKSPACE_COUNTS: [usize; 4] = [8, 64, 512, 4_096];
const SESSION_GROUP_COUNTS: [usize; 5] = [1, 3, 10, 30, 100];
const RECORD_COUNTS: [usize; 3] = [64, 512, 4_096];

pub(super) fn rows() -> Vec<Row> {
    let mut rows = config_rows();
    rows.push(fence_row());
    rows.push(token_row());
    rows.push(timeline_row());
    rows
}

fn points(sizes: &[usize], value: impl Fn(usize) -> usize) -> Vec<(f64, f64)> {
    sizes
        .iter()
        .map(|size| (*size as f64, value(*size) as f64))
        .collect()
}

fn json_bytes(size: &Size) -> usize {
    serde_json::to_vec(&sample::config(1, size)).map_or(0, |bytes| bytes.len())
}

fn push_bytes(size: &Size) -> usize {
    let config = sample::config(1, size).into();
    let message = PeerMessage::Config(ConfigMessage::Push { config });
    rmp_serde::to_vec(&message).map_or(0, |bytes| bytes.len())
}

fn config_rows() -> Vec<Row> {
    let role = "configuration";
    let groups = |groups| Size {
        routes: 3,
        ..Size::new(groups, 8)
    };
    let routes = |routes| Size {
        routes,
        ..Size::new(3, 8)
    };
    let workspaces = |workspaces| Size::new(3, workspaces);
    vec![
        Row::new(
            role,
            "object, bytes",
            "groups",
            points(&GROUP_COUNTS, |n| json_bytes(&groups(n))),
        ),
        Row::new(
            role,
            "object, bytes",
            "routes",
            points(&GROUP_COUNTS, |n| json_bytes(&routes(n))),
        ),
        Row::new(
            role,
            "object, bytes",
            "workspaces",
            points(&WORKSPACE_COUNTS, |n| json_bytes(&workspaces(n))),
        ),
        Row::new(
            role,
            "push, bytes",
            "groups",
            points(&GROUP_COUNTS, |n| push_bytes(&groups(n))),
        ),
        Row::new(
            role,
            "push, bytes",
            "routes",
            points(&GROUP_COUNTS, |n| push_bytes(&routes(n))),
        ),
        Row::new(
            role,
            "push, bytes",
            "workspaces",
            points(&WORKSPACE_COUNTS, |n| push_bytes(&workspaces(n))),
        ),
    ]
}

fn fence_row() -> Row {
    let bytes = |groups| {
        let fence = sample::fence(0..16, 16, 0..groups);
        serde_json::to_vec(&fence).map_or(0, |bytes| bytes.len())
    };
    Row::new(
        "membership",
        "fence object of 16 VMs, bytes",
        "groups in it",
        points(&GROUP_COUNTS, bytes),
    )
}

/// Returns a session vector with positions of this many groups.
pub(super) fn vector(groups: usize) -> SessionVector {
    let mut vector = SessionVector::new();
    for group in 0..groups {
        let position = Position::new(Term(7), 1_000_000 + group as u64);
        vector.raise(&sample::group_id(group), position);
    }
    vector
}

/// Returns a session token whose vector has positions of this many groups.
pub(super) fn token(groups: usize) -> SessionToken {
    SessionToken {
        session: SessionId(1),
        stamp: HybridTime::default(),
        vector: vector(groups),
    }
}

/// Returns the session secrets of the sample configuration.
pub(super) fn secrets() -> Option<SessionSecrets> {
    SessionSecrets::from_hex(&["0f".repeat(32)]).ok()
}

fn token_row() -> Row {
    let bytes = |groups| {
        let token = secrets().and_then(|secrets| {
            token(groups)
                .encode(&secrets, &sample::workspace_id(0))
                .ok()
        });
        token.map_or(0, |token| token.len())
    };
    Row::new(
        "session",
        "token, bytes",
        "groups in its vector",
        points(&SESSION_GROUP_COUNTS, bytes),
    )
}

/// Returns a timeline with this many records, each with a workspace, a group and a request.
fn timeline(records: usize) -> Timeline {
    let member = sample::roster_member(0);
    let process = Process {
        vm: member.vm,
        incarnation: member.incarnation,
        data_centre: member.data_centre,
    };
    let mut timeline = Timeline::new(process, records);
    for index in 0..records as u64 {
        let subject = Subject {
            workspace: Some(sample::workspace_id(0)),
            group: Some(sample::group_id(0)),
            request: Some(RequestId(index)),
            ..Subject::default()
        };
        timeline.record(WallTime::default(), EventCode::LeaseGained, subject);
    }
    timeline
}

fn timeline_row() -> Row {
    let bytes = |records| {
        let export = timeline(records).export(WallTime::default(), 0, records);
        serde_json::to_vec(&export).map_or(0, |bytes| bytes.len())
    };
    Row::new(
        "time line",
        "export as JSON, bytes",
        "records",
        points(&RECORD_COUNTS, bytes),
    )
}
