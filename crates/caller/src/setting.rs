//! Recognition of SQL text that sets or shows one of lycheedoor's own settings.

use crate::IDEMPOTENCY_KEY_PARAMETER;
use crate::SESSION_PARAMETER;

/// Settings that only lycheedoor itself may set on a connection to a target.
const RESERVED_SETTINGS: [&[u8]; 2] = [b"lycheedoor.workspace", b"lycheedoor.idempotency_key"];

/// Returns the new idempotency key when the text sets or resets it, and `None` for other text.
///
/// The inner `None` stands for a key that is reset.
pub(crate) fn idempotency_key_setting(text: &str) -> Option<Option<String>> {
    let text = text.trim().trim_end_matches(';').trim_end();
    if let Some(rest) = strip_keyword(text, "RESET") {
        return rest
            .eq_ignore_ascii_case(IDEMPOTENCY_KEY_PARAMETER)
            .then_some(None);
    }
    let rest = strip_keyword(text, "SET")?;
    let rest = strip_keyword(rest, "SESSION").unwrap_or(rest);
    let name = rest.get(..IDEMPOTENCY_KEY_PARAMETER.len())?;
    if !name.eq_ignore_ascii_case(IDEMPOTENCY_KEY_PARAMETER) {
        return None;
    }
    let rest = rest.get(IDEMPOTENCY_KEY_PARAMETER.len()..)?.trim_start();
    let value = match rest.strip_prefix('=') {
        Some(value) => value.trim_start(),
        None => strip_keyword(rest, "TO")?,
    };
    if value.eq_ignore_ascii_case("DEFAULT") {
        return Some(None);
    }
    let key = parse_literal(value)?;
    Some((!key.is_empty()).then_some(key))
}

/// Returns whether the text is a SHOW command for the session token.
pub(crate) fn is_show_session(text: &str) -> bool {
    let text = text.trim().trim_end_matches(';').trim_end();
    strip_keyword(text, "SHOW").is_some_and(|name| name.eq_ignore_ascii_case(SESSION_PARAMETER))
}

/// Returns whether the text contains the name of a setting that callers may not set.
pub(crate) fn names_reserved_setting(text: &str) -> bool {
    RESERVED_SETTINGS.iter().any(|name| {
        text.as_bytes()
            .windows(name.len())
            .any(|window| window.eq_ignore_ascii_case(name))
    })
}

fn strip_keyword<'a>(text: &'a str, word: &str) -> Option<&'a str> {
    let head = text.get(..word.len())?;
    let rest = text.get(word.len()..)?;
    let separated = rest.starts_with(|next: char| next.is_ascii_whitespace());
    (head.eq_ignore_ascii_case(word) && separated).then(|| rest.trim_start())
}

/// Parses text that consists of a single quoted literal.
fn parse_literal(text: &str) -> Option<String> {
    let inner = text.strip_prefix('\'')?.strip_suffix('\'')?;
    let unquoted = inner.replace("''", "");
    (!unquoted.contains('\'')).then(|| inner.replace("''", "'"))
}
