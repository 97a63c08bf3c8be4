//! A summary of what a publication changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;

use lycheedoor_core::config::Config;

/// Returns one line for each added, removed or changed entry; keys and secrets are never shown.
pub(crate) fn describe(before: &Config, after: &Config) -> String {
    let mut lines = String::new();
    compare(
        &mut lines,
        "workspace",
        &before.workspaces,
        &after.workspaces,
    );
    compare(&mut lines, "route", &before.routes, &after.routes);
    compare(&mut lines, "group", &before.groups, &after.groups);
    compare(
        &mut lines,
        "data centre",
        &before.data_centres,
        &after.data_centres,
    );
    if before.session_secrets != after.session_secrets {
        lines.push_str("change session secrets\n");
    }
    lines
}

fn compare<K: Ord + Display, V: PartialEq>(
    lines: &mut String,
    kind: &str,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
) {
    let names: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    for name in names {
        let verb = match (before.get(name), after.get(name)) {
            (None, _) => "add",
            (_, None) => "remove",
            (old, new) if old != new => "change",
            _ => continue,
        };
        lines.push_str(&format!("{verb} {kind} {name}\n"));
    }
}
