//! Tests of the log and metrics output: code, fields and level of an event, the filter, and the
//! description of a metric.

use std::process::Command;

use lycheedoor_telemetry::FieldValue;
use lycheedoor_telemetry::LogFormat;
use lycheedoor_telemetry::LogSetupError;
use lycheedoor_telemetry::emit;
use lycheedoor_telemetry::emit_limited_by_cause;
use lycheedoor_telemetry::events;
use lycheedoor_telemetry::init_log;
use lycheedoor_telemetry::init_metrics;
use lycheedoor_telemetry::metrics;

/// The environment variable with the log format of the child process, whose standard error the test
/// reads.
const FORMAT_VARIABLE: &str = "LYCHEEDOOR_TEST_LOG_FORMAT";

/// Writes the log lines that `log_lines_have_code_level_and_fields` checks; does nothing when it is
/// run without the environment variable.
#[test]
fn child_that_logs() {
    let format = match std::env::var(FORMAT_VARIABLE).as_deref() {
        Ok("json") => LogFormat::Json,
        Ok("text") => LogFormat::Text,
        _ => return,
    };
    init_log("warn,lycheedoor::config=info", format).unwrap();
    let lease = [FieldValue::from(312)];
    emit(&events::LEASE_LOST, &lease);
    emit(&events::LEASE_BACK, &lease);
    emit(&events::CONFIG_APPLIED, &[FieldValue::from(7)]);
    let reason = FieldValue::from_display(&"broken pipe");
    emit(
        &events::PLATFORM_UNREACHABLE,
        &[FieldValue::from("get"), reason],
    );
    for vm in ["vm-1", "vm-1", "vm-2"] {
        emit_limited_by_cause(&events::PEER_UNREACHABLE, vm, &[FieldValue::from(vm)]);
    }
    assert!(matches!(
        init_log("info", format),
        Err(LogSetupError::AlreadySet)
    ));
}

#[test]
fn log_lines_have_code_level_and_fields() {
    let text = lines_of_child("text");
    assert_eq!(text.len(), 5, "{text:?}");
    assert!(
        text[0].contains("WARN lycheedoor::membership: output.rs:"),
        "{}",
        text[0]
    );
    assert!(
        text[0].ends_with("LD-W-0303 membership lease is lost; statements are refused cause=312")
    );
    assert!(text[1].contains("LD-I-0501") && text[1].ends_with("version=7"));
    assert!(
        text[2].ends_with("call=get error=broken pipe"),
        "{}",
        text[2]
    );
    // The second of two warnings with the same cause within a second is dropped.
    assert!(text[3].ends_with("vm=vm-1") && text[4].ends_with("vm=vm-2"));
    let json = lines_of_child("json");
    assert!(json[0].contains(r#""kvs":{"cause":312}"#), "{}", json[0]);
}

/// Runs `child_that_logs` in a process of its own, because a process has only one logger.
fn lines_of_child(format: &str) -> Vec<String> {
    let output = Command::new(std::env::current_exe().unwrap_or_default())
        .args(["child_that_logs", "--exact", "--nocapture"])
        .env(FORMAT_VARIABLE, format)
        .output();
    let bytes = output.map(|output| output.stderr).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    text.lines()
        .filter(|line| line.contains("LD-"))
        .map(String::from)
        .collect()
}

#[test]
fn malformed_filter_is_refused() {
    let refused = init_log("info=loud", LogFormat::Text);
    assert!(matches!(refused, Err(LogSetupError::Filter)));
}

#[test]
fn metrics_text_has_values_and_descriptions() {
    let handle = init_metrics().unwrap();
    ::metrics::counter!(metrics::REFUSALS.name, "workspace" => "acme", "sqlstate" => "LD003")
        .increment(2);
    ::metrics::histogram!(metrics::STATEMENT_SECONDS.name, "route" => "issue").record(0.000_25);
    handle.run_upkeep();
    let text = handle.render();
    assert!(text.contains(r#"lycheedoor_refusals_total{workspace="acme",sqlstate="LD003"} 2"#));
    assert!(text.contains("# HELP lycheedoor_refusals_total refused statements"));
    assert!(text.contains(r#"lycheedoor_statement_seconds_bucket{route="issue",le="0.0003"} 1"#));
    assert!(init_metrics().is_err());
}
