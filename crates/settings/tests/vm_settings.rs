//! Tests of a VM's settings: defaults, one report for all errors, and the page that documents the
//! keys.

use std::collections::BTreeSet;
use std::time::Duration;

use insta::assert_snapshot;
use lycheedoor_settings::InputFile;
use lycheedoor_settings::KEYS;
use lycheedoor_settings::LogFormat;
use lycheedoor_settings::VmSettings;
use proptest::prelude::*;

const SETTINGS_PAGE: &str = include_str!("../../../docs/settings.md");

const MINIMAL_FILE: &str = r#"
[vm]
name = "vm-1"
data_centre = "east"
cell = "one"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
operators = "127.0.0.1:0"
[platform]
address = "127.0.0.1:8080"
"#;

fn parse(text: &str) -> Result<VmSettings, lycheedoor_settings::Report> {
    VmSettings::parse(InputFile {
        name: "vm.toml",
        text,
    })
}

#[test]
fn missing_limits_take_their_defaults() {
    let settings = parse(MINIMAL_FILE).unwrap();
    assert_eq!(settings.limits.timeline_events, 65_536);
    assert_eq!(settings.limits.drain_timeout, Duration::from_secs(30));
    assert_eq!(settings.platform.timeout, Duration::from_millis(500));
    assert_eq!(settings.log.filter, "info");
    assert_eq!(settings.log.format, LogFormat::Text);
}

#[test]
fn example_of_the_settings_page_is_accepted_and_equals_the_defaults() {
    let example = SETTINGS_PAGE
        .split("```")
        .find(|block| block.starts_with("toml\n# vm settings"))
        .unwrap();
    let settings = parse(example.strip_prefix("toml").unwrap()).unwrap();
    let minimal = parse(MINIMAL_FILE).unwrap();
    assert_eq!(settings.limits, minimal.limits);
    assert_eq!(settings.vm.as_str(), "vm-1");
}

#[test]
fn all_faults_are_in_one_report() {
    let text = r#"
[vm]
name = "vm 1"
data_center = "east"

[listen]
callers = "localhost:5432"
peers = "127.0.0.1:7000"
operators = "127.0.0.1:7000"

[limits]
timeline_events = 5
drain_timeout_ms = 1.5
caller_connections = 99999999999999999999

[log]
filter = "loud"
format = "xml"

[extra]
"#;
    let report = parse(text).unwrap_err();
    assert_snapshot!(format!("{report}\n{}", report.render()));
}

#[test]
fn settings_page_lists_every_key_and_no_other() {
    let keys: BTreeSet<String> = KEYS
        .iter()
        .map(|(section, key)| format!("{section}.{key}"))
        .collect();
    let listed: BTreeSet<String> = SETTINGS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'))
        .map(|(key, _)| key.to_owned())
        .collect();
    assert_eq!(keys, listed);
}

proptest! {
    #[test]
    fn mutated_files_never_panic(index in 0usize..MINIMAL_FILE.len(), byte in any::<char>()) {
        let mut text: Vec<char> = MINIMAL_FILE.chars().collect();
        text[index] = byte;
        if let Err(report) = parse(&text.into_iter().collect::<String>()) {
            prop_assert!(!report.faults().is_empty());
            prop_assert!(!report.render().is_empty());
        }
    }

    #[test]
    fn any_text_never_panics(text in ".*") {
        let _ = parse(&text);
    }
}
