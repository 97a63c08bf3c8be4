//! The names of all settings keys. Masking uses them to decide what a report may show, and a test
//! compares them with docs/settings.md.

/// All keys, as pairs of section and key; `NAME` in a section stands for a name that operators
/// choose.
pub const KEYS: &[(&str, &str)] = &[
    ("vm", "name"),
    ("vm", "data_centre"),
    ("vm", "cell"),
    ("listen", "callers"),
    ("listen", "peers"),
    ("listen", "operators"),
    ("platform", "address"),
    ("platform", "timeout_ms"),
    ("limits", "timeline_events"),
    ("limits", "caller_connections"),
    ("limits", "message_bytes"),
    ("limits", "login_timeout_ms"),
    ("limits", "connect_timeout_ms"),
    ("limits", "drain_timeout_ms"),
    ("log", "filter"),
    ("log", "format"),
    ("workspace.NAME", "key_digests"),
    ("workspace.NAME", "rate_per_s"),
    ("workspace.NAME", "burst"),
    ("workspace.NAME", "weight"),
    ("group.NAME", "slots"),
    ("group.NAME", "connections"),
    ("group.NAME.members.NAME", "address"),
    ("group.NAME.members.NAME", "data_centre"),
    ("route.NAME", "group"),
    ("route.NAME", "access"),
    ("route.NAME", "idempotent"),
    ("route.NAME", "max_age_ms"),
    ("route.NAME", "open"),
    ("route.NAME", "workspaces"),
    ("route.NAME", "timeout_ms"),
    ("session", "secrets"),
];

/// Sections whose subtables have names that operators choose.
const NAMED_SECTIONS: [&str; 5] = ["workspace", "group", "route", "data_centre", "members"];

/// Keys whose values never appear in a report.
const SECRET_KEYS: [&str; 2] = ["key_digests", "secrets"];

/// Returns whether a name is that of a key or a section.
pub(crate) fn is_known(key: &str) -> bool {
    is_named_section(key)
        || KEYS
            .iter()
            .any(|(section, name)| *name == key || *section == key)
}

pub(crate) fn is_named_section(key: &str) -> bool {
    NAMED_SECTIONS.contains(&key)
}

/// Returns whether a report may show the value of a key.
pub(crate) fn has_public_value(key: &str) -> bool {
    !SECRET_KEYS.contains(&key) && KEYS.iter().any(|(_, name)| *name == key)
}
