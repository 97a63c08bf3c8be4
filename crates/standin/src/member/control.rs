//! Control commands: status, fencing, promotion, replication and searches of received bytes.

use std::time::Duration;

use lycheedoor_core::types::Position;
use lycheedoor_core::types::Term;
use lycheedoor_core::vm::MemberRole;
use lycheedoor_core::vm::MemberState;

use crate::member::session::Answer;
use crate::member::sql::SqlError;
use crate::member::state::Member;
use crate::member::state::State;

const STATE_COLUMNS: [&str; 4] = ["role", "term", "received", "applied"];

/// How long `AWAIT` waits until the member has received the position.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long `FETCH` waits for a new entry before it responds with none.
const FETCH_TIMEOUT: Duration = Duration::from_millis(100);

pub(crate) fn run(member: &Member, words: &[String]) -> Result<Answer, SqlError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let verb = words.first().copied().unwrap_or_default();
    match (verb.to_ascii_uppercase().as_str(), words.get(1).copied()) {
        ("STATUS", None) => Ok(state_row(member.lock().member_state())),
        ("FENCE", Some(term)) => fence(member, parse_term(term)?),
        ("PROMOTE", Some(term)) => promote(member, parse_term(term)?),
        ("AWAIT", Some(position)) => await_received(member, parse_position(position)?),
        ("FETCH", Some(position)) => fetch(member, parse_position(position)?),
        ("SEARCH", Some(hex)) => search(member, hex),
        _ => Err(SqlError::new("42601", "unknown control command")),
    }
}

fn fence(member: &Member, term: Term) -> Result<Answer, SqlError> {
    let mut state = member.lock();
    let is_primary_of_term = state.role == MemberRole::Primary && state.term == term;
    if term < state.term || is_primary_of_term {
        return Err(stale_term(&state));
    }
    state.term = term;
    state.role = MemberRole::Replica;
    let report = state.member_state();
    drop(state);
    member.notify();
    Ok(state_row(report))
}

fn promote(member: &Member, term: Term) -> Result<Answer, SqlError> {
    let mut state = member.lock();
    if term < state.term {
        return Err(stale_term(&state));
    }
    state.term = term;
    state.role = MemberRole::Primary;
    let length = state.log.len();
    state.apply_up_to(length);
    let report = state.member_state();
    drop(state);
    member.notify();
    Ok(state_row(report))
}

/// Waits until the member has received a position of the current term.
///
/// A member that knows a later term refuses: entries of the old term may be discarded, so its
/// confirmation would guarantee nothing.
fn await_received(member: &Member, position: Position) -> Result<Answer, SqlError> {
    member
        .wait_for(AWAIT_TIMEOUT, |state| {
            if state.term > position.term {
                return Some(Err(stale_term(state)));
            }
            (state.received_position() >= position).then(|| Ok(state_row(state.member_state())))
        })
        .unwrap_or_else(|| Err(SqlError::new("57014", "position was not received in time")))
}

/// Returns a row with the term and the length of the common log prefix, then one row for each
/// later entry.
fn fetch(member: &Member, from: Position) -> Result<Answer, SqlError> {
    let requester_length = usize::try_from(from.log_position).unwrap_or(usize::MAX);
    member.wait_for(FETCH_TIMEOUT, |state| {
        (state.role != MemberRole::Primary || state.received_position() != from).then_some(())
    });
    let state = member.lock();
    if state.role != MemberRole::Primary {
        return Err(SqlError::new("55000", "member is not primary"));
    }
    let is_common = requester_length
        .checked_sub(1)
        .and_then(|last_index| state.log.get(last_index))
        .is_some_and(|entry| entry.term == from.term);
    let common_length = if is_common { requester_length } else { 0 };
    let mut rows = vec![vec![
        Some(state.term.to_string()),
        Some(common_length.to_string()),
    ]];
    for entry in state.log.get(common_length..).unwrap_or_default() {
        let text = serde_json::to_string(entry)
            .map_err(|error| SqlError::new("XX000", error.to_string()))?;
        rows.push(vec![Some(text), None]);
    }
    Ok(Answer::rows(&["entry", "base"], rows))
}

/// Searches the bytes received on all connections. The needle is in hexadecimal, so that the
/// command itself does not add it to these bytes.
fn search(member: &Member, hex: &str) -> Result<Answer, SqlError> {
    let invalid = || SqlError::new("22023", "text is not hexadecimal");
    let needle = (0..hex.len())
        .step_by(2)
        .map(|index| {
            let pair = hex.get(index..index + 2).ok_or_else(invalid)?;
            u8::from_str_radix(pair, 16).map_err(|_| invalid())
        })
        .collect::<Result<Vec<_>, _>>()?;
    let found = member.has_received_bytes(&needle);
    Ok(Answer::rows(
        &["found"],
        vec![vec![Some(found.to_string())]],
    ))
}

fn state_row(state: MemberState) -> Answer {
    let role = match state.role {
        MemberRole::Primary => "primary",
        MemberRole::Replica => "replica",
    };
    let row = [
        role.to_owned(),
        state.term.to_string(),
        state.received.to_string(),
        state.applied.to_string(),
    ];
    Answer::rows(&STATE_COLUMNS, vec![row.map(Some).to_vec()])
}

fn stale_term(state: &State) -> SqlError {
    SqlError::new("55000", format!("member is at term {}", state.term))
}

fn parse_term(text: &str) -> Result<Term, SqlError> {
    let term = text.parse().map_err(|_| invalid(text))?;
    Ok(Term(term))
}

fn parse_position(text: &str) -> Result<Position, SqlError> {
    text.parse().map_err(|_| invalid(text))
}

fn invalid(text: &str) -> SqlError {
    SqlError::new("22023", format!("invalid argument {text:?}"))
}
