//! Encoding of the messages that callers receive.

use bytes::BytesMut;
use lycheedoor_core::types::Outcome;
use lycheedoor_core::types::Reason;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_frame::put_error;
use lycheedoor_frame::put_message;
use pgwire::messages::data::DataRow;
use pgwire::messages::data::FieldDescription;
use pgwire::messages::data::RowDescription;
use pgwire::messages::extendedquery::CloseComplete;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ReadyForQuery;
use pgwire::messages::response::TransactionStatus as WireStatus;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;

use crate::LocalRequest;
use crate::SESSION_PARAMETER;

const READY_FOR_QUERY_BYTES: usize = 6;

/// SQLSTATE `admin_shutdown`, on which clients reconnect. They lose nothing between statements.
const ADMIN_SHUTDOWN_SQLSTATE: &str = "57P01";

/// Server settings that drivers read at start-up.
const START_UP_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "17.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("standard_conforming_strings", "on"),
    ("integer_datetimes", "on"),
    ("DateStyle", "ISO, MDY"),
];

/// Appends the messages that end a successful start-up, from AuthenticationOk to ReadyForQuery.
pub fn put_start_up_complete(
    out: &mut BytesMut,
    process_id: i32,
    secret: i32,
    session_token: Option<&str>,
) {
    put_message(out, &Authentication::Ok);
    for (name, value) in START_UP_PARAMETERS {
        put_parameter_status(out, name, value);
    }
    put_parameter_status(out, SESSION_PARAMETER, session_token.unwrap_or_default());
    put_message(
        out,
        &BackendKeyData::new(process_id, SecretKey::I32(secret)),
    );
    put_ready_for_query(out, TransactionStatus::Idle);
}

/// Appends a target's whole answer. A new session token is inserted before its ReadyForQuery.
pub fn put_answer(out: &mut BytesMut, frames: &[u8], session_token: Option<&str>) {
    let split = frames.len().saturating_sub(READY_FOR_QUERY_BYTES);
    let (answer, ready) = frames.split_at(split);
    out.extend_from_slice(answer);
    if let Some(token) = session_token {
        put_parameter_status(out, SESSION_PARAMETER, token);
    }
    out.extend_from_slice(ready);
}

/// Appends the error for a refused or failed statement.
///
/// `session_token` is the new token if the statement advanced the session, as one with an unknown
/// outcome does.
pub fn put_refusal(
    out: &mut BytesMut,
    reason: Reason,
    outcome: Outcome,
    session_token: Option<&str>,
    status: TransactionStatus,
) {
    let (sqlstate, message) = (reason.sqlstate(), reason.message());
    put_error(
        out,
        "ERROR",
        sqlstate,
        message,
        Some(outcome_detail(outcome)),
    );
    if let Some(token) = session_token {
        put_parameter_status(out, SESSION_PARAMETER, token);
    }
    put_ready_for_query(out, status);
}

/// Appends the fatal error that ends a connection for a reason other than a protocol violation.
///
/// A drain is reported as `admin_shutdown`, which makes clients reconnect. `outcome` is the outcome
/// of the statement in progress, because drivers attribute the error to that statement.
pub fn put_fatal_error(out: &mut BytesMut, reason: Reason, outcome: Outcome) {
    let sqlstate = match reason {
        Reason::Draining => ADMIN_SHUTDOWN_SQLSTATE,
        _ => reason.sqlstate(),
    };
    let detail = outcome_detail(outcome);
    put_error(out, "FATAL", sqlstate, reason.message(), Some(detail));
}

/// Appends the fatal error that ends a connection after a protocol violation by the caller.
pub fn put_protocol_error(out: &mut BytesMut, message: &str, outcome: Outcome) {
    let sqlstate = Reason::Malformed.sqlstate();
    put_error(
        out,
        "FATAL",
        sqlstate,
        message,
        Some(outcome_detail(outcome)),
    );
}

/// Appends the answer to a request that is answered without a target.
pub fn put_local_answer(
    out: &mut BytesMut,
    request: &LocalRequest,
    session_token: &str,
    status: TransactionStatus,
) {
    match request {
        LocalRequest::Sync { close_count } => {
            for _ in 0..*close_count {
                put_message(out, &CloseComplete::new());
            }
        }
        LocalRequest::SetIdempotencyKey(_) => {
            put_message(out, &CommandComplete::new("SET".to_owned()));
        }
        LocalRequest::ShowSession => put_show_result(out, SESSION_PARAMETER, session_token),
        LocalRequest::Unsupported { sqlstate, message } => {
            put_error(out, "ERROR", sqlstate, message, Some("not run"));
        }
    }
    put_ready_for_query(out, status);
}

/// Appends the answer to a SHOW command: one row with one text column.
fn put_show_result(out: &mut BytesMut, column: &str, value: &str) {
    const TEXT_TYPE: u32 = 25;
    const VARIABLE_SIZE: i16 = -1;
    let field = FieldDescription::new(column.to_owned(), 0, 0, TEXT_TYPE, VARIABLE_SIZE, -1, 0);
    put_message(out, &RowDescription::new(vec![field]));
    let mut data = BytesMut::new();
    let length = i32::try_from(value.len()).unwrap_or(i32::MAX);
    data.extend_from_slice(&length.to_be_bytes());
    data.extend_from_slice(value.as_bytes());
    put_message(out, &DataRow::new(data, 1));
    put_message(out, &CommandComplete::new("SHOW".to_owned()));
}

fn put_parameter_status(out: &mut BytesMut, name: &str, value: &str) {
    put_message(
        out,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

fn put_ready_for_query(out: &mut BytesMut, status: TransactionStatus) {
    let status = match status {
        TransactionStatus::Idle => WireStatus::Idle,
        TransactionStatus::Open => WireStatus::Transaction,
        TransactionStatus::Failed => WireStatus::Error,
    };
    put_message(out, &ReadyForQuery::new(status));
}

fn outcome_detail(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not run",
        Outcome::Unknown => "unknown",
    }
}
