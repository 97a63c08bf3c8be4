//! The `explain log` command, which reports on one statement from the log files of all VMs.
//!
//! Timelines are kept in memory and lost when a process ends, but log files remain. The line about
//! a statement names the group, member and cause, and related lines from around that time show what
//! the VMs knew.

use std::fmt::Write as _;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use jiff::Timestamp;
use serde_json::Map;
use serde_json::Value;

use crate::error::CtlError;

/// How long before a statement's line an event may be related to it: longer than a statement may
/// take, and longer than a failover.
const LOOKBACK_INTERVAL: Duration = Duration::from_secs(12);

/// How long after a statement's line an event may be related to it: a silent member is detected
/// later than the statement that it delays.
const LOOKAHEAD_INTERVAL: Duration = Duration::from_secs(2);

/// The codes of events about single statements.
const STATEMENT_CODES: [&str; 2] = ["LD-I-1109", "LD-I-1116"];

/// The codes of starts and stops of processes, which may affect a statement on any VM.
const PROCESS_CODES: [&str; 5] = [
    "LD-I-0101",
    "LD-I-0102",
    "LD-I-1114",
    "LD-I-1115",
    "LD-W-1117",
];

/// The code of the event that names the VM of the lines after it.
const STARTED_CODE: &str = "LD-I-0101";

/// A log event, as parsed from a line of a log file.
#[derive(Clone, Debug)]
struct Line {
    time: Timestamp,
    vm: String,
    code: String,
    message_text: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line, or returns `None` if it is no log event. Log collectors may put the name of
    /// the VM before the JSON object.
    fn parse(raw: &str, vm: &str) -> Option<Self> {
        let (prefix, object) = raw.split_at(raw.find('{')?);
        let mut object: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let message = object.get("message")?.as_str()?;
        let (code, message_text) = message.split_once(' ')?;
        let (code, message_text) = (code.to_owned(), message_text.to_owned());
        let time = object.get("timestamp")?.as_str()?.parse().ok()?;
        let fields = match object.remove("kvs") {
            Some(Value::Object(fields)) => fields,
            _ => Map::new(),
        };
        let vm = prefix.split_whitespace().last().unwrap_or(vm).to_owned();
        Some(Self {
            time,
            vm,
            code,
            message_text,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_about(&self, statement: &str) -> bool {
        self.field("statement") == Some(statement)
    }

    /// Returns whether the event may help to explain the outcome of a statement.
    fn is_related_to(&self, statement_line: &Line) -> bool {
        let offset = self.time.duration_since(statement_line.time);
        let is_near = offset.unsigned_abs()
            <= if offset.is_negative() {
                LOOKBACK_INTERVAL
            } else {
                LOOKAHEAD_INTERVAL
            };
        let is_about_statement = STATEMENT_CODES.contains(&self.code.as_str());
        let is_in_scope = match (self.field("group"), statement_line.field("group")) {
            (Some(group), Some(statement_group)) => group == statement_group,
            _ => self.vm == statement_line.vm || PROCESS_CODES.contains(&self.code.as_str()),
        };
        is_near && is_in_scope && !is_about_statement
    }
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<String, CtlError> {
    let statement = arguments.get_one::<String>("statement");
    let statement = statement.map_or("", String::as_str);
    let files = arguments.get_many::<PathBuf>("log").into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_events(file)?);
    }
    lines.sort_by_key(|line| line.time);
    render_report(&lines, statement)
        .ok_or_else(|| CtlError::NotFound(format!("no log line about statement {statement}")))
}

/// Reads the log events of a file; other lines, such as panic messages, are skipped.
fn read_events(path: &Path) -> Result<Vec<Line>, CtlError> {
    let log_error = |error| CtlError::Log {
        path: path.to_owned(),
        error,
    };
    let file = File::open(path).map_err(log_error)?;
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut vm = stem.into_owned();
    let mut lines = Vec::new();
    for raw in BufReader::new(file).split(b'\n') {
        let raw = raw.map_err(log_error)?;
        let Some(line) = Line::parse(&String::from_utf8_lossy(&raw), &vm) else {
            continue;
        };
        if line.code == STARTED_CODE
            && let Some(name) = line.field("vm")
        {
            name.clone_into(&mut vm);
        }
        lines.push(line);
    }
    Ok(lines)
}

/// Returns the lines about a statement and the related events, or `None` if no line is about it.
fn render_report(lines: &[Line], statement: &str) -> Option<String> {
    let statement_lines: Vec<&Line> = lines
        .iter()
        .filter(|line| line.is_about(statement))
        .collect();
    let last = statement_lines.last()?;
    let mut text = String::new();
    for line in &statement_lines {
        append_line(&mut text, line, 0);
    }
    text.push_str("\nRelated events around that time:\n");
    let related = lines.iter().filter(|line| line.is_related_to(last));
    for (line, others) in merge_duplicates(related) {
        append_line(&mut text, line, others);
    }
    Some(text)
}

/// Merges equal events of several VMs into the first one, with the number of the others.
fn merge_duplicates<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<(&'a Line, usize)> {
    let mut merged: Vec<(&Line, usize)> = Vec::new();
    for line in lines {
        let duplicate = merged.iter_mut().find(|(known, _)| {
            known.code == line.code
                && known.fields == line.fields
                && known.message_text == line.message_text
        });
        match duplicate {
            Some((known, others)) if known.vm != line.vm => *others += 1,
            _ => merged.push((line, 0)),
        }
    }
    merged
}

fn append_line(text: &mut String, line: &Line, others: usize) {
    let render_field = |(name, value): (&String, &Value)| match value.as_str() {
        Some(value) => format!("{name}={value:?}"),
        None => format!("{name}={value}"),
    };
    let fields: Vec<String> = line.fields.iter().map(render_field).collect();
    let fields = fields.join(" ");
    let vms = match others {
        0 => line.vm.clone(),
        _ => format!("{} and {others} more", line.vm),
    };
    let Line {
        time,
        code,
        message_text: message,
        ..
    } = line;
    // Writing to a string does not fail.
    let _ = writeln!(text, "{time:.3} {vms}: {code} {message} {fields}");
}
