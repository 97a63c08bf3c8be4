//! Server side of the PostgreSQL v3 protocol on a blocking connection.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use bytes::BufMut;
use bytes::BytesMut;
use lycheedoor_core::vm::TransactionStatus;
use lycheedoor_frame::Frame;
use lycheedoor_frame::FrameDecoder;
use lycheedoor_frame::put_error;
use lycheedoor_frame::put_frame;
use lycheedoor_frame::put_message;
use lycheedoor_frame::take_cstring;
use lycheedoor_target::CONTROL_PARAMETER;
use lycheedoor_target::POSITION_PARAMETER;
use pgwire::messages::DecodeContext;
use pgwire::messages::Message;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use pgwire::messages::startup::Startup;

use crate::member::session::Answer;
use crate::member::session::Session;
use crate::member::sql::SqlError;
use crate::member::sql::Statement;
use crate::member::sql::parameter_count;
use crate::member::sql::parse_statement;
use crate::member::sql::split_statements;
use crate::member::state::Member;

const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The codes of `SSLRequest` and `GSSENCRequest`.
const ENCRYPTION_REQUEST_CODES: [u32; 2] = [80_877_103, 80_877_104];
/// The length and code with which each `CancelRequest` starts.
const CANCEL_REQUEST_PREFIX: [u8; 8] = [0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e];
const TEXT_OID: u32 = 25;

/// Serves one connection until the client, an error or the member's stop ends it.
pub(crate) fn serve(mut stream: &TcpStream, connection_id: u64, member: &Member) {
    let mut decoder = FrameDecoder::new(MAX_FRAME_BYTES);
    let mut backend: Option<Backend> = None;
    let mut buffer = [0; READ_BUFFER_BYTES];
    let mut out = BytesMut::new();
    loop {
        let step = match &mut backend {
            None => start_up(&mut decoder, connection_id, member, &mut backend, &mut out),
            Some(backend) => backend.step(&mut decoder, member, &mut out),
        };
        if !out.is_empty() && stream.write_all(&out.split()).is_err() {
            break;
        }
        match step {
            Step::Continue => continue,
            Step::End => break,
            Step::NeedBytes => {}
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(count) => {
                let bytes = buffer.get(..count).unwrap_or_default();
                member.record_received_bytes(bytes);
                decoder.extend(bytes);
            }
        }
    }
    if let Some(mut backend) = backend {
        backend.session.close(member);
    }
}

enum Step {
    Continue,
    NeedBytes,
    End,
}

fn start_up(
    decoder: &mut FrameDecoder,
    connection_id: u64,
    member: &Member,
    backend: &mut Option<Backend>,
    out: &mut BytesMut,
) -> Step {
    let packet = match decoder.next_start_up() {
        Ok(Some(packet)) => packet,
        Ok(None) => return Step::NeedBytes,
        Err(_) => return Step::End,
    };
    let code = packet.get(4..8).and_then(|code| code.try_into().ok());
    if ENCRYPTION_REQUEST_CODES.contains(&code.map(u32::from_be_bytes).unwrap_or_default()) {
        out.put_u8(b'N');
        return Step::Continue;
    }
    if let Some(process_id) = packet
        .strip_prefix(&CANCEL_REQUEST_PREFIX)
        .and_then(|key| key.get(..4))
    {
        let process_id = process_id
            .iter()
            .fold(0, |id, byte| id << 8 | u64::from(*byte));
        member.cancel(process_id);
        return Step::End;
    }
    let packet = &mut BytesMut::from(&packet[..]);
    let Ok(Some(start_up)) = Startup::decode(packet, &DecodeContext::default()) else {
        return Step::End;
    };
    let control = requests_control(&start_up);
    put_message(out, &Authentication::Ok);
    for (name, value) in [("server_version", "17.0"), ("client_encoding", "UTF8")] {
        put_parameter(out, name, value);
    }
    let process_id = i32::try_from(connection_id).unwrap_or(0);
    put_message(out, &BackendKeyData::new(process_id, SecretKey::I32(0)));
    put_frame(out, b'Z', &[b"I"]);
    *backend = Some(Backend {
        session: Session::new(connection_id, control),
        statements: BTreeMap::new(),
        portals: BTreeMap::new(),
        skip_to_sync: false,
    });
    Step::Continue
}

/// Returns whether the start-up message requests control commands, as a parameter or in `options`.
fn requests_control(start_up: &Startup) -> bool {
    let in_options = start_up
        .parameters
        .get("options")
        .is_some_and(|options| options.contains(CONTROL_PARAMETER));
    in_options || start_up.parameters.contains_key(CONTROL_PARAMETER)
}

struct Backend {
    session: Session,
    statements: BTreeMap<String, String>,
    portals: BTreeMap<String, Statement>,
    skip_to_sync: bool,
}

impl Backend {
    fn step(&mut self, decoder: &mut FrameDecoder, member: &Member, out: &mut BytesMut) -> Step {
        let frame = match decoder.next_frame() {
            Ok(Some(frame)) => frame,
            Ok(None) => return Step::NeedBytes,
            Err(_) => return Step::End,
        };
        match frame.kind() {
            b'X' => return Step::End,
            b'S' => {
                self.skip_to_sync = false;
                self.put_ready_for_query(member, out);
            }
            _ if self.skip_to_sync => {}
            b'Q' => self.simple_query(&frame, member, out),
            kind => {
                if let Err(error) = self.extended_query(kind, &frame, member, out) {
                    self.skip_to_sync = true;
                    put_sql_error(out, &error);
                }
            }
        }
        Step::Continue
    }

    fn simple_query(&mut self, frame: &Frame, member: &Member, out: &mut BytesMut) {
        let text = take_cstring(&mut frame.body()).unwrap_or_default();
        for part in split_statements(text) {
            let result = parse_statement(part, &[]).and_then(|statement| match statement {
                Statement::Empty => Ok(None),
                statement => self.session.execute(member, &statement).map(Some),
            });
            match result {
                Ok(None) => {}
                Ok(Some(answer)) => {
                    if !answer.columns.is_empty() {
                        put_row_description(out, &answer.columns);
                    }
                    put_answer(out, &answer);
                }
                Err(error) => {
                    put_sql_error(out, &error);
                    break;
                }
            }
        }
        self.put_ready_for_query(member, out);
    }

    fn extended_query(
        &mut self,
        kind: u8,
        frame: &Frame,
        member: &Member,
        out: &mut BytesMut,
    ) -> Result<(), SqlError> {
        let mut body = frame.body();
        match kind {
            b'P' => self.parse(&mut body, out),
            b'B' => self.bind(&mut body, out),
            b'D' => self.describe(body, out),
            b'E' => self.execute(&mut body, member, out),
            b'C' => self.close(body, out),
            b'H' => Ok(()),
            _ => Err(SqlError::new("08P01", "unknown message")),
        }
    }

    fn parse(&mut self, body: &mut &[u8], out: &mut BytesMut) -> Result<(), SqlError> {
        let name = take_text(body)?;
        let query = take_text(body)?;
        let parameters = vec![String::from("0"); usize::from(parameter_count(query))];
        parse_statement(query, &parameters)?;
        if !name.is_empty() && self.statements.contains_key(name) {
            return Err(SqlError::new("42P05", "prepared statement already exists"));
        }
        self.statements.insert(name.to_owned(), query.to_owned());
        put_frame(out, b'1', &[]);
        Ok(())
    }

    fn bind(&mut self, body: &mut &[u8], out: &mut BytesMut) -> Result<(), SqlError> {
        let portal = take_text(body)?;
        let query = self.prepared_query(take_text(body)?)?;
        let formats = take_u16(body)?;
        take(body, usize::from(formats) * 2)?;
        let parameters = (0..take_u16(body)?)
            .map(|_| take_parameter(body))
            .collect::<Result<Vec<_>, _>>()?;
        let statement = parse_statement(&query, &parameters)?;
        self.portals.insert(portal.to_owned(), statement);
        put_frame(out, b'2', &[]);
        Ok(())
    }

    fn describe(&mut self, body: &[u8], out: &mut BytesMut) -> Result<(), SqlError> {
        let (target, mut name) = body.split_first().ok_or_else(truncated)?;
        let name = take_text(&mut name)?;
        let columns = if *target == b'S' {
            let query = self.prepared_query(name)?;
            let count = parameter_count(&query);
            let mut types = BytesMut::new();
            types.put_u16(count);
            (0..count).for_each(|_| types.put_u32(TEXT_OID));
            put_frame(out, b't', &[&types]);
            Session::columns(&parse_statement(
                &query,
                &vec!["0".to_owned(); usize::from(count)],
            )?)
        } else {
            Session::columns(self.portal(name)?)
        };
        match columns.is_empty() {
            true => put_frame(out, b'n', &[]),
            false => put_row_description(out, &columns),
        }
        Ok(())
    }

    fn execute(
        &mut self,
        body: &mut &[u8],
        member: &Member,
        out: &mut BytesMut,
    ) -> Result<(), SqlError> {
        let statement = self.portal(take_text(body)?)?.clone();
        if statement == Statement::Empty {
            put_frame(out, b'I', &[]);
            return Ok(());
        }
        let answer = self.session.execute(member, &statement)?;
        put_answer(out, &answer);
        Ok(())
    }

    fn close(&mut self, body: &[u8], out: &mut BytesMut) -> Result<(), SqlError> {
        let (target, mut name) = body.split_first().ok_or_else(truncated)?;
        let name = take_text(&mut name)?;
        match target {
            b'S' => drop(self.statements.remove(name)),
            _ => drop(self.portals.remove(name)),
        }
        put_frame(out, b'3', &[]);
        Ok(())
    }

    fn prepared_query(&self, name: &str) -> Result<String, SqlError> {
        self.statements
            .get(name)
            .cloned()
            .ok_or_else(|| SqlError::new("26000", "prepared statement does not exist"))
    }

    fn portal(&self, name: &str) -> Result<&Statement, SqlError> {
        self.portals
            .get(name)
            .ok_or_else(|| SqlError::new("34000", "portal does not exist"))
    }

    fn put_ready_for_query(&mut self, member: &Member, out: &mut BytesMut) {
        let status = self.session.status();
        if status == TransactionStatus::Idle {
            self.portals.clear();
        }
        let position = self.session.take_position(member).to_string();
        put_parameter(out, POSITION_PARAMETER, &position);
        let status: &[u8] = match status {
            TransactionStatus::Idle => b"I",
            TransactionStatus::Open => b"T",
            TransactionStatus::Failed => b"E",
        };
        put_frame(out, b'Z', &[status]);
    }
}

fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    put_message(
        out,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

fn put_sql_error(out: &mut BytesMut, error: &SqlError) {
    put_error(out, "ERROR", error.sqlstate, &error.message, None);
}

fn put_row_description(out: &mut BytesMut, columns: &[String]) {
    let mut body = BytesMut::new();
    body.put_u16(u16::try_from(columns.len()).unwrap_or(0));
    for name in columns {
        body.put_slice(name.as_bytes());
        body.put_u8(0);
        body.put_u32(0);
        body.put_u16(0);
        body.put_u32(TEXT_OID);
        body.put_i16(-1);
        body.put_i32(-1);
        body.put_u16(0);
    }
    put_frame(out, b'T', &[&body]);
}

fn put_answer(out: &mut BytesMut, answer: &Answer) {
    for row in &answer.rows {
        let mut body = BytesMut::new();
        body.put_u16(u16::try_from(row.len()).unwrap_or(0));
        for column in row {
            match column {
                Some(text) => {
                    body.put_u32(u32::try_from(text.len()).unwrap_or(0));
                    body.put_slice(text.as_bytes());
                }
                None => body.put_i32(-1),
            }
        }
        put_frame(out, b'D', &[&body]);
    }
    put_frame(out, b'C', &[answer.tag.as_bytes(), b"\0"]);
}

fn truncated() -> SqlError {
    SqlError::new("08P01", "message is truncated")
}

fn take_text<'a>(body: &mut &'a [u8]) -> Result<&'a str, SqlError> {
    take_cstring(body).ok_or_else(truncated)
}

fn take<'a>(body: &mut &'a [u8], count: usize) -> Result<&'a [u8], SqlError> {
    let taken = body.get(..count).ok_or_else(truncated)?;
    *body = body.get(count..).unwrap_or_default();
    Ok(taken)
}

fn take_u16(body: &mut &[u8]) -> Result<u16, SqlError> {
    let bytes = take(body, 2)?.try_into().map_err(|_| truncated())?;
    Ok(u16::from_be_bytes(bytes))
}

fn take_parameter(body: &mut &[u8]) -> Result<String, SqlError> {
    let bytes = take(body, 4)?.try_into().map_err(|_| truncated())?;
    let length = usize::try_from(i32::from_be_bytes(bytes)).unwrap_or(0);
    let text = take(body, length)?;
    Ok(String::from_utf8_lossy(text).into_owned())
}
