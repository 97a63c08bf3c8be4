//! Compares the documentation pages of events and metrics with the declarations. An event or metric
//! that is missing from the page or the code, or that differs between them, fails a test.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::collections::BTreeSet;
use std::path::PathBuf;

use lycheedoor_core::timeline::EventCode;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::metrics;

const EVENTS_PAGE: &str = include_str!("../../../docs/events.md");
const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const METRICS_PAGE: &str = include_str!("../../../docs/metrics.md");

fn code_list(names: &[&str]) -> String {
    let code_spans: Vec<_> = names.iter().map(|name| format!("`{name}`")).collect();
    code_spans.join(", ")
}

fn table_rows<'a>(page: &'a str, prefix: &str) -> Vec<&'a str> {
    page.lines()
        .filter(|line| line.starts_with(prefix))
        .collect()
}

#[test]
fn events_page_lists_every_log_event_as_declared() {
    let declared: Vec<_> = events::ALL
        .iter()
        .map(|event| {
            let level = event.level.as_str().to_lowercase();
            let fields = code_list(event.fields);
            format!(
                "| {} | {level} | `{}` | {} | {fields} |",
                event.code, event.name, event.message
            )
        })
        .collect();
    assert_eq!(table_rows(EVENTS_PAGE, "| LD-"), declared);
}

#[test]
fn codes_and_names_of_log_events_are_unique_and_well_formed() {
    let mut codes = BTreeSet::new();
    let mut names = BTreeSet::new();
    for event in events::ALL {
        let number = event.code.rsplit('-').next().unwrap();
        let letter = &event.level.as_str()[..1];
        assert_eq!(event.code, format!("LD-{letter}-{number}"));
        assert!(number.len() == 4 && number.bytes().all(|byte| byte.is_ascii_digit()));
        assert!(
            codes.insert(number) && names.insert(event.name),
            "{}",
            event.code
        );
        assert!(EVENTS_PAGE.contains(&format!("(`{}`)", event.target)));
    }
}

#[test]
fn metrics_page_lists_every_metric_as_declared() {
    let declared: Vec<_> = metrics::ALL
        .iter()
        .map(|metric| {
            let labels = match metric.labels {
                [] => "none".into(),
                labels => code_list(labels),
            };
            let (kind, unit) = (metric.metric_type.as_str(), metric.unit.as_str());
            format!(
                "| `{}` | {kind} | {unit} | {labels} | {} |",
                metric.name, metric.description
            )
        })
        .collect();
    assert_eq!(table_rows(METRICS_PAGE, "| `lycheedoor_"), declared);
}

#[test]
fn names_of_metrics_are_unique_and_show_their_unit() {
    let mut names = BTreeSet::new();
    for metric in metrics::ALL {
        assert!(names.insert(metric.name), "{}", metric.name);
        let unit = metric.unit.as_str();
        let suffix = match metric.metric_type {
            metrics::MetricType::Counter => "_total",
            _ if unit == "count" => "",
            _ => unit,
        };
        assert!(metric.name.ends_with(suffix), "{}", metric.name);
    }
}

/// Returns the concatenated source files of the crates that emit events and metrics.
fn emitting_sources() -> String {
    let crates = concat!(env!("CARGO_MANIFEST_DIR"), "/..");
    let sources = [
        "lycheedoor/src",
        "net/src",
        "node/src",
        "telemetry/src/limit.rs",
    ];
    let paths = sources.map(|source| PathBuf::from(crates).join(source));
    let (files, folders): (Vec<_>, Vec<_>) = paths.into_iter().partition(|path| path.is_file());
    let mut folders = folders;
    let mut text: String = files
        .iter()
        .map(|file| std::fs::read_to_string(file).unwrap())
        .collect();
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else {
                text.push_str(&std::fs::read_to_string(path).unwrap());
            }
        }
    }
    text
}

fn contains_word(text: &str, name: &str) -> bool {
    let mut words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    words.any(|word| word == name)
}

/// Guards against documented events and metrics that no code emits.
#[test]
fn every_declaration_is_emitted_by_the_process() {
    let sources = emitting_sources();
    for event in events::ALL {
        assert!(
            contains_word(&sources, &event.name.to_uppercase()),
            "{}",
            event.name
        );
    }
    let declarations = include_str!("../src/metrics.rs").lines();
    let names = declarations.filter_map(|line| line.strip_prefix("pub const "));
    let names: Vec<_> = names
        .filter_map(|rest| rest.split_once(": MetricKind"))
        .collect();
    assert_eq!(names.len(), metrics::ALL.len());
    for (name, _) in names {
        assert!(contains_word(&sources, name), "{name}");
    }
}

/// Guards against warnings and errors that are logged without a declared event, so that the page
/// does not list them.
#[test]
fn process_logs_warnings_only_as_declared_events() {
    let sources = emitting_sources();
    for call in ["log::warn!", "log::error!", "log::info!"] {
        assert!(!sources.contains(call), "{call}");
    }
}

/// Guards against timeline events that the page does not list or lists under another name.
#[test]
fn events_page_lists_every_time_line_event() {
    let listed: Vec<_> = EVENTS_PAGE
        .lines()
        .filter(|line| line.starts_with("| ") && line.as_bytes()[2].is_ascii_digit())
        .map(|line| line.split(" | ").take(2).collect::<Vec<_>>().join(" | "))
        .collect();
    let mut codes = EventCode::ALL.to_vec();
    codes.sort_by_key(|code| code.number());
    let declared: Vec<_> = codes
        .iter()
        .map(|code| format!("| {} | `{}`", code.number(), code.name()))
        .collect();
    assert_eq!(listed, declared);
}

#[test]
fn operations_page_names_only_declared_events_and_metrics() {
    let words = OPERATIONS_PAGE.split('`');
    let mut found = 0;
    for word in words {
        if word.starts_with("LD-") {
            found += 1;
            assert!(events::ALL.iter().any(|event| event.code == word), "{word}");
        } else if word.starts_with("lycheedoor_") {
            found += 1;
            assert!(
                metrics::ALL.iter().any(|metric| metric.name == word),
                "{word}"
            );
        }
    }
    assert!(
        found > 10,
        "the page names too few events and metrics to have been searched"
    );
}
