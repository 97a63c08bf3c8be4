//! Conversions of single values. Error messages never quote the value, as it may be a secret.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use lycheedoor_core::config::Access;
use lycheedoor_core::config::KeyDigest;
use toml::de::DeValue;

/// The longest name of a VM, workspace, group and so on, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The minimum length of a session secret, in bytes: the output size of the hash that it keys.
const MIN_SECRET_BYTES: usize = 32;

/// A converted value, or a message that continues a sentence starting with the key.
pub(crate) type Parsed<T> = Result<T, String>;

pub(crate) fn number(range: RangeInclusive<u32>) -> impl Fn(&DeValue<'_>) -> Parsed<u32> {
    move |value| {
        let integer = value
            .as_integer()
            .ok_or_else(|| format!("must be a whole number, not {}", value.type_str()))?;
        i64::from_str_radix(integer.as_str(), integer.radix())
            .ok()
            .and_then(|number| u32::try_from(number).ok())
            .filter(|number| range.contains(number))
            .ok_or_else(|| format!("must be from {} to {}", range.start(), range.end()))
    }
}

pub(crate) fn boolean(value: &DeValue<'_>) -> Parsed<bool> {
    value
        .as_bool()
        .ok_or_else(|| format!("must be true or false, not {}", value.type_str()))
}

fn text<'a>(value: &'a DeValue<'_>) -> Parsed<&'a str> {
    value
        .as_str()
        .ok_or_else(|| format!("must be a string, not {}", value.type_str()))
}

pub(crate) fn name<T: for<'a> From<&'a str>>(value: &DeValue<'_>) -> Parsed<T> {
    let name = text(value)?;
    check_name(name)?;
    Ok(T::from(name))
}

pub(crate) fn check_name(name: &str) -> Parsed<()> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        return Err(format!(
            "must be a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' and '.'"
        ));
    }
    Ok(())
}

pub(crate) fn address(value: &DeValue<'_>) -> Parsed<SocketAddr> {
    text(value)?
        .parse()
        .map_err(|_| "must be an IP address and a port, as in \"10.0.0.1:5432\"".into())
}

pub(crate) fn access(value: &DeValue<'_>) -> Parsed<Access> {
    one_of(value, &[("read", Access::Read), ("write", Access::Write)])
}

pub(crate) fn one_of<T: Copy>(value: &DeValue<'_>, choices: &[(&str, T)]) -> Parsed<T> {
    let word = text(value)?;
    let found = choices.iter().find(|(choice, _)| *choice == word);
    found.map(|(_, choice)| *choice).ok_or_else(|| {
        let words: Vec<_> = choices
            .iter()
            .map(|(word, _)| format!("{word:?}"))
            .collect();
        format!("must be {}", words.join(" or "))
    })
}

pub(crate) fn digest(value: &DeValue<'_>) -> Parsed<KeyDigest> {
    KeyDigest::try_from(text(value)?.to_owned()).map_err(|_| {
        "must be \"sha256:\" and 64 lower-case hexadecimal digits; `lycheedoor-ctl hash-key` \
         prints the digest of a key"
            .into()
    })
}

pub(crate) fn secret(value: &DeValue<'_>) -> Parsed<String> {
    let secret = text(value)?;
    let is_hexadecimal = secret.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hexadecimal || !secret.len().is_multiple_of(2) || secret.len() < MIN_SECRET_BYTES * 2 {
        return Err(format!(
            "must be an even number of at least {} hexadecimal digits",
            MIN_SECRET_BYTES * 2
        ));
    }
    Ok(secret.to_ascii_lowercase())
}

/// Checks a comma-separated list of levels and of `target=level`.
pub(crate) fn log_filter(value: &DeValue<'_>) -> Parsed<String> {
    const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
    let filter = text(value)?;
    let is_valid = |directive: &str| {
        let (target, level) = directive.split_once('=').unwrap_or(("all", directive));
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"_:-".contains(&byte);
        !target.is_empty() && target.bytes().all(is_allowed) && LEVELS.contains(&level)
    };
    if filter.split(',').all(is_valid) {
        Ok(filter.into())
    } else {
        Err(format!(
            "must be a list such as \"info,lycheedoor::platform=debug\" with the levels {}",
            LEVELS.join(", ")
        ))
    }
}
