//! Parser for the few SQL statements that a stand-in member supports.

/// An error response to a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SqlError {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

impl SqlError {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }
}

/// A parsed statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Statement {
    Empty,
    Begin,
    Commit,
    Rollback,
    Set {
        name: String,
        value: String,
    },
    /// `SELECT name(arguments)`.
    Call {
        name: String,
        arguments: Vec<String>,
    },
    /// `SELECT` of a literal or a parameter.
    Literal(String),
    /// `LYCHEEDOOR words`.
    Control(Vec<String>),
}

/// Splits a simple query into statements, at semicolons outside of literals.
pub(crate) fn split_statements(text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut in_literal = false;
    let mut start = 0;
    for (index, byte) in text.bytes().enumerate() {
        match byte {
            b'\'' => in_literal = !in_literal,
            b';' if !in_literal => {
                parts.extend(text.get(start..index));
                start = index + 1;
            }
            _ => {}
        }
    }
    parts.extend(text.get(start..));
    parts
}

/// Returns the highest number of a `$n` parameter in the text, or 0.
pub(crate) fn parameter_count(text: &str) -> u16 {
    text.split('$')
        .skip(1)
        .filter_map(|rest| {
            let digits = rest.trim_start_matches(|next: char| next.is_ascii_digit());
            rest.get(..rest.len() - digits.len())?.parse().ok()
        })
        .max()
        .unwrap_or(0)
}

/// Parses one statement and replaces each `$n` by its parameter.
pub(crate) fn parse_statement(text: &str, parameters: &[String]) -> Result<Statement, SqlError> {
    let text = text.trim();
    let (keyword, rest) = text
        .split_once(|next: char| next.is_ascii_whitespace())
        .unwrap_or((text, ""));
    match keyword.to_ascii_uppercase().as_str() {
        "" => Ok(Statement::Empty),
        "BEGIN" | "START" => Ok(Statement::Begin),
        "COMMIT" | "END" => Ok(Statement::Commit),
        "ROLLBACK" | "ABORT" => Ok(Statement::Rollback),
        "SET" => parse_set(rest),
        "SELECT" => parse_select(rest.trim(), parameters),
        "LYCHEEDOOR" => Ok(Statement::Control(
            rest.split_ascii_whitespace().map(str::to_owned).collect(),
        )),
        _ => Err(syntax_error(text)),
    }
}

fn parse_set(text: &str) -> Result<Statement, SqlError> {
    let split = text
        .split_once('=')
        .or_else(|| text.split_once(" TO "))
        .or_else(|| text.split_once(" to "));
    let (name, value) = split.ok_or_else(|| syntax_error(text))?;
    Ok(Statement::Set {
        name: name.trim().to_ascii_lowercase(),
        value: parse_argument(value.trim(), &[]).unwrap_or_else(|| value.trim().to_owned()),
    })
}

fn parse_select(text: &str, parameters: &[String]) -> Result<Statement, SqlError> {
    if let Some(literal) = parse_argument(text, parameters) {
        return Ok(Statement::Literal(literal));
    }
    let (name, rest) = text.split_once('(').ok_or_else(|| syntax_error(text))?;
    let inner = rest
        .trim_end()
        .strip_suffix(')')
        .ok_or_else(|| syntax_error(text))?;
    let arguments = split_arguments(inner)
        .into_iter()
        .map(|item| parse_argument(item.trim(), parameters).ok_or_else(|| syntax_error(text)))
        .collect::<Result<_, _>>()?;
    Ok(Statement::Call {
        name: name.trim().to_ascii_lowercase(),
        arguments,
    })
}

fn split_arguments(text: &str) -> Vec<&str> {
    let mut in_literal = false;
    if text.trim().is_empty() {
        return Vec::new();
    }
    text.split(|next: char| {
        in_literal ^= next == '\'';
        next == ',' && !in_literal
    })
    .collect()
}

/// Returns the value of a string literal, an integer or a parameter; `None` for anything else.
fn parse_argument(text: &str, parameters: &[String]) -> Option<String> {
    if let Some(number) = text.strip_prefix('$') {
        let index = number.parse::<usize>().ok()?.checked_sub(1)?;
        return parameters.get(index).cloned();
    }
    if text.parse::<i64>().is_ok() {
        return Some(text.to_owned());
    }
    let (text, has_escapes) = match text.strip_prefix('E') {
        Some(text) => (text, true),
        None => (text, false),
    };
    let inner = text.strip_prefix('\'')?.strip_suffix('\'')?;
    if inner.replace("''", "").contains('\'') {
        return None;
    }
    let inner = inner.replace("''", "'");
    Some(match has_escapes {
        true => inner.replace("\\\\", "\\"),
        false => inner,
    })
}

fn syntax_error(text: &str) -> SqlError {
    let shown: String = text.chars().take(60).collect();
    SqlError::new("42601", format!("syntax error in {shown:?}"))
}
