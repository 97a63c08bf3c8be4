//! Tests of `lycheedoor-publish check`: one for each kind of finding, the difference from the
//! version in force, and exit codes.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use insta::assert_snapshot;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::types::Nonce;
use lycheedoor_platform::Client;
use lycheedoor_platform::OperatorChange;
use lycheedoor_platform::update_config;
use lycheedoor_standin::platform::Server;

const SECRET: &str = "c0ffee11c0ffee22c0ffee33c0ffee44c0ffee55c0ffee66c0ffee77c0ffee88";

/// A configuration without findings; `KEY` stands for a digest and `SECRET` for the secret.
const CLEAN: &str = r#"[session] # SECRET
secrets = ["SECRET"]
[data_centre.east]
[data_centre.west]
[workspace.acme] # SECRET
key_digests = ["KEY"]
rate_per_s = 5
burst = 9
[group.orders]
slots = 3
connections = 20
[group.orders.members.one]
address = "10.0.1.1:5432"
data_centre = "east"
[group.orders.members.two]
address = "10.0.2.1:5432"
data_centre = "west"
[route.orders]
group = "orders"
access = "write"
"#;

/// Runs the program on `CLEAN` with `added` at its end, and returns exit code and output.
fn run(test: &str, before: &[&str], after: &[&str], added: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let digest = String::from(TenantKey::new("sample-tenant-key-4711").digest());
    let text = format!("{CLEAN}{added}")
        .replace("KEY", &digest)
        .replace("SECRET", SECRET);
    fs::write(folder.join("all.toml"), text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_lycheedoor-publish"))
        .current_dir(&folder)
        .args([before, &["all.toml"], after].concat())
        .output()
        .unwrap();
    let text = format!(
        "exit code {:?}\n{}{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(!text.contains(SECRET) && !text.contains(&digest), "{text}");
    text
}

fn check(test: &str, added: &str) -> String {
    run(test, &["check"], &["--deny-warnings"], added)
}

/// Guards against warnings about a configuration that has nothing wrong.
#[test]
fn clean_files_have_no_findings() {
    assert_snapshot!(check("clean", ""));
}

/// Guards against an error that is reported without its place, or as a mere warning.
#[test]
fn errors_name_file_line_and_key() {
    assert_snapshot!(check(
        "errors",
        "[route.lost]\ngroup = \"none\"\naccess = \"all\"\n"
    ));
}

/// Guards against a customer who is set up without a key and refused everywhere.
#[test]
fn workspace_without_key() {
    assert_snapshot!(check(
        "keyless",
        "[workspace.globex]\nrate_per_s = 1\nburst = 1\n"
    ));
}

/// Guards against a customer with a key whom no route admits.
#[test]
fn workspace_that_no_route_admits() {
    let added = "workspaces = [\"acme\"]\n[workspace.globex]\nkey_digests = [\"KEY\"]\n\
                 rate_per_s = 1\nburst = 1\n";
    assert_snapshot!(check("unadmitted", added));
}

/// Guards against a route whose only workspaces cannot authenticate.
#[test]
fn route_that_nobody_can_use() {
    let added = "[route.lost]\ngroup = \"orders\"\naccess = \"read\"\nworkspaces = [\"globex\"]\n\
                 [workspace.globex]\nrate_per_s = 1\nburst = 1\n";
    assert_snapshot!(check("unusable", added));
}

/// Guards against an open route that its author believes to be restricted to some workspaces.
#[test]
fn open_route_with_workspaces() {
    let added = "[route.lookup]\ngroup = \"orders\"\naccess = \"read\"\nopen = true\nworkspaces = [\"acme\"]\n";
    assert_snapshot!(check("open", added));
}

/// Guards against a staleness bound on a route whose statements never run on a replica.
#[test]
fn staleness_bound_of_writes() {
    assert_snapshot!(check("staleness", "max_age_ms = 100\n"));
}

/// Guards against a group and a data centre that are left over or misspelled elsewhere.
#[test]
fn unused_group_and_data_centre() {
    let added = "[data_centre.north]\n[group.old]\nslots = 3\nconnections = 2\n\
                 [group.old.members.one]\naddress = \"10.0.1.9:5432\"\ndata_centre = \"east\"\n";
    assert_snapshot!(check("unused", added));
}

/// Guards against a check that publishes, that compares with nothing without saying so, or that
/// fails on warnings without being asked to.
#[test]
fn differences_are_shown_and_nothing_is_published() {
    let server = Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = server.address().to_string();
    let platform = ["--platform", address.as_str(), "--timeout-ms", "5000"];
    let published = run("difference", &platform, &[], "");
    let puts = server.counts().puts;
    let added = "max_age_ms = 100\n[data_centre.north]\n";
    let checked = run("difference", &["check"], &platform, added);
    assert_eq!(server.counts().puts, puts);
    assert_snapshot!([published, checked].join("---\n"));
}

/// Guards against warnings about a workspace whose key was granted by command, and against silence
/// about one whose only key was withdrawn.
#[test]
fn keys_set_by_command_are_taken_into_account() {
    let server = Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = Client::new(server.address(), Duration::from_secs(5));
    let address = server.address().to_string();
    let platform = ["--platform", address.as_str(), "--timeout-ms", "5000"];
    let added = "[workspace.globex]\nrate_per_s = 1\nburst = 1\n";
    run("keys", &platform, &[], added);
    let granted = OperatorChange::AddKey {
        workspace: "globex".into(),
        key: TenantKey::new("sample-tenant-key-4712").digest(),
    };
    update_config(&client, Nonce(1), |current| granted.apply(current)).unwrap();
    let after_grant = run("keys", &["check"], &platform, added);
    let withdrawn = OperatorChange::WithdrawKey {
        workspace: "acme".into(),
        key: TenantKey::new("sample-tenant-key-4711").digest(),
    };
    update_config(&client, Nonce(2), |current| withdrawn.apply(current)).unwrap();
    let after_withdrawal = run("keys", &["check"], &platform, added);
    assert_snapshot!([after_grant, after_withdrawal].join("---\n"));
}
