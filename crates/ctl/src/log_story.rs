//! The story of one statement, from the log files of all VMs.
//!
//! Time lines live in the memory of the VMs and end with them; the log files remain. A statement's
//! own line names group, member and cause, and the lines around it say what the VMs knew then.

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

/// How long before a statement's line events may have brought it about: longer than a statement
/// may take, and than a replacement of a primary.
const BEFORE: Duration = Duration::from_secs(12);

/// How long after it events may still show what it met: the silence of a member is noticed later
/// than the statement that it delays.
const AFTER: Duration = Duration::from_secs(2);

/// Lines about single statements.
const STATEMENT_CODES: [&str; 2] = ["LD-I-1109", "LD-I-1116"];

/// Starts and stops of processes, which matter on whichever VM they are.
const PROCESS_CODES: [&str; 5] = [
    "LD-I-0101",
    "LD-I-0102",
    "LD-I-1114",
    "LD-I-1115",
    "LD-W-1117",
];

/// Names the VM of the lines that follow.
const STARTED_CODE: &str = "LD-I-0101";

/// A line of a log.
#[derive(Clone, Debug)]
struct Line {
    time: Timestamp,
    vm: String,
    code: String,
    text: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Decodes a line. Collectors may put the name of the VM before the object.
    fn parse(raw: &str, vm: &str) -> Option<Self> {
        let (prefix, object) = raw.split_at(raw.find('{')?);
        let mut object: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let message = object.get("message")?.as_str()?;
        let (code, text) = message.split_once(' ')?;
        let (code, text) = (code.to_owned(), text.to_owned());
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
            text,
            fields,
        })
    }

    fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    fn is_about(&self, statement: &str) -> bool {
        self.field("statement") == Some(statement)
    }

    /// Returns whether the line may say why a statement ended as it did.
    fn may_explain(&self, own: &Line) -> bool {
        let since = self.time.duration_since(own.time);
        let is_near = since.unsigned_abs() <= if since.is_negative() { BEFORE } else { AFTER };
        let is_other_statement = STATEMENT_CODES.contains(&self.code.as_str());
        let concerns = match (self.field("group"), own.field("group")) {
            (Some(group), Some(own_group)) => group == own_group,
            _ => self.vm == own.vm || PROCESS_CODES.contains(&self.code.as_str()),
        };
        is_near && concerns && !is_other_statement
    }
}

pub(crate) fn run(arguments: &ArgMatches) -> Result<String, CtlError> {
    let statement = arguments.get_one::<String>("statement");
    let statement = statement.map_or("", String::as_str);
    let files = arguments.get_many::<PathBuf>("log").into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by_key(|line| line.time);
    story(&lines, statement)
        .ok_or_else(|| CtlError::NotFound(format!("no line about statement {statement}")))
}

/// Reads the lines of a file that are log events; others, such as panics, are passed over.
fn read(path: &Path) -> Result<Vec<Line>, CtlError> {
    let failed = |error| CtlError::Log {
        path: path.to_owned(),
        error,
    };
    let file = File::open(path).map_err(failed)?;
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    let mut vm = stem.into_owned();
    let mut lines = Vec::new();
    for raw in BufReader::new(file).split(b'\n') {
        let raw = raw.map_err(failed)?;
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

/// Tells what happened to a statement and around it; nothing without a line about it.
fn story(lines: &[Line], statement: &str) -> Option<String> {
    let own: Vec<&Line> = lines.iter().filter(|it| it.is_about(statement)).collect();
    let last = own.last()?;
    let mut text = String::new();
    for line in &own {
        append(&mut text, line, 0);
    }
    text.push_str("\nWhat the VMs noted around it:\n");
    let around = lines.iter().filter(|line| line.may_explain(last));
    for (line, others) in merge_same(around) {
        append(&mut text, line, others);
    }
    Some(text)
}

/// Leaves the first of lines that say the same on several VMs, with the number of the others.
fn merge_same<'a>(lines: impl Iterator<Item = &'a Line>) -> Vec<(&'a Line, usize)> {
    let mut merged: Vec<(&Line, usize)> = Vec::new();
    for line in lines {
        let same = merged.iter_mut().find(|(known, _)| {
            known.code == line.code && known.fields == line.fields && known.text == line.text
        });
        match same {
            Some((known, others)) if known.vm != line.vm => *others += 1,
            _ => merged.push((line, 0)),
        }
    }
    merged
}

fn append(text: &mut String, line: &Line, others: usize) {
    let shown = |(name, value): (&String, &Value)| match value.as_str() {
        Some(value) => format!("{name}={value:?}"),
        None => format!("{name}={value}"),
    };
    let fields: Vec<String> = line.fields.iter().map(shown).collect();
    let fields = fields.join(" ");
    let vms = match others {
        0 => line.vm.clone(),
        _ => format!("{} and {others} more", line.vm),
    };
    let Line {
        time,
        code,
        text: message,
        ..
    } = line;
    // Writing to a string does not fail.
    let _ = writeln!(text, "{time:.3} {vms}: {code} {message} {fields}");
}
