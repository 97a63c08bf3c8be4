//! Tests of `lycheedoor-publish` against a stand-in platform: concurrent publishers, lost answers
//! and exit codes. Every run also checks that no key or secret appears in the output.

#![allow(
    clippy::unwrap_used,
    reason = "clippy.toml allows it only inside test functions"
)]

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::thread;
use std::time::Duration;

use insta::assert_snapshot;
use lycheedoor_core::config::DataCentreState;
use lycheedoor_core::config::TenantKey;
use lycheedoor_core::types::Nonce;
use lycheedoor_platform::Client;
use lycheedoor_platform::OperatorChange;
use lycheedoor_platform::read_config;
use lycheedoor_platform::update_config;
use lycheedoor_standin::platform::FaultMode;
use lycheedoor_standin::platform::Server;

const KEY: &str = "sample-tenant-key-4711";
const SECRET: &str = "c0ffee11c0ffee22c0ffee33c0ffee44c0ffee55c0ffee66c0ffee77c0ffee88";

/// A stand-in platform and a folder of declaration files.
struct Fixture {
    server: Server,
    client: Client,
    folder: PathBuf,
}

impl Fixture {
    fn new(test: &str) -> Self {
        let server = Server::start("127.0.0.1:0".parse().unwrap()).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&folder).unwrap();
        let fixture = Self {
            client: Client::new(server.address(), Duration::from_secs(5)),
            server,
            folder,
        };
        fixture.write(
            "base.toml",
            &format!("[data_centre.east]\n[session]\nsecrets = [\"{SECRET}\"]\n"),
        );
        fixture
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.folder.join(name), text).unwrap();
    }

    fn write_workspace(&self, name: &str, rate_per_s: u32) {
        let digest = String::from(TenantKey::new(KEY).digest());
        let text = format!(
            "[workspace.{name}]\nkey_digests = [\"{digest}\"]\nrate_per_s = {rate_per_s}\n\
             burst = 9\n"
        );
        self.write(&format!("{name}.toml"), &text);
    }

    fn publish(&self, files: &[&str]) -> Output {
        let address = self.server.address().to_string();
        run(
            &self.folder,
            &[&["--platform", &address, "--timeout-ms", "5000"], files].concat(),
        )
    }
}

fn run(folder: &PathBuf, arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_lycheedoor-publish"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .unwrap();
    let text = text(&output);
    assert!(!text.contains(KEY) && !text.contains(SECRET), "{text}");
    output
}

fn text(output: &Output) -> String {
    format!(
        "exit code {:?}\n{}{}",
        output.status.code(),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn help_names_examples_and_exit_codes() {
    assert_snapshot!(text(&run(&PathBuf::from("."), &["--help"])));
}

#[test]
fn first_publication_then_repetition_then_change() {
    let fixture = Fixture::new("sequence");
    fixture.write_workspace("acme", 5);
    let first = text(&fixture.publish(&["base.toml", "acme.toml"]));
    let again = text(&fixture.publish(&["base.toml", "acme.toml"]));
    fixture.write_workspace("acme", 6);
    fixture.write_workspace("globex", 1);
    let change = text(&fixture.publish(&["base.toml", "acme.toml", "globex.toml"]));
    let removal = text(&fixture.publish(&["base.toml", "globex.toml"]));
    assert_snapshot!([first, again, change, removal].join("---\n"));
}

#[test]
fn faults_end_before_the_platform_is_called() {
    let fixture = Fixture::new("faults");
    let text_with_key = format!(
        "[workspace.acme] # {KEY}\nkey_digests = [\"{KEY}\"]\nrate_per_s = 0\nburst = 1\n\
         keys = \"{KEY}\"\n[session]\nsecrets = \"{SECRET}\"\n"
    );
    fixture.write("faulty.toml", &text_with_key);
    let faults = text(&fixture.publish(&["base.toml", "faulty.toml"]));
    let missing = text(&fixture.publish(&["base.toml", "missing.toml"]));
    let check = text(&run(&fixture.folder, &["--check", "base.toml"]));
    let usage = text(&run(&fixture.folder, &["base.toml"]));
    assert_eq!(fixture.server.counts().puts, 0);
    assert_snapshot!([faults, missing, check, usage].join("---\n"));
}

#[test]
fn publication_over_an_unexpected_version_is_refused() {
    let fixture = Fixture::new("expected");
    fixture.publish(&["base.toml"]);
    fixture.write_workspace("acme", 5);
    let stale = fixture.publish(&["--expected-version", "0", "base.toml", "acme.toml"]);
    assert_eq!(stale.status.code(), Some(3), "{}", text(&stale));
    let fresh = fixture.publish(&["--expected-version", "1", "base.toml", "acme.toml"]);
    assert_eq!(fresh.status.code(), Some(0), "{}", text(&fresh));
}

#[test]
fn configuration_over_the_platforms_limit_is_refused() {
    let fixture = Fixture::new("large");
    let digest = String::from(TenantKey::new(KEY).digest());
    let many = format!("\"{digest}\",").repeat(15_000);
    let file = format!("[workspace.a]\nkey_digests = [{many}]\nrate_per_s = 1\nburst = 1\n");
    fixture.write("large.toml", &file);
    let refused = fixture.publish(&["base.toml", "large.toml"]);
    assert_eq!(refused.status.code(), Some(3), "{}", text(&refused));
    assert_eq!(read_config(&fixture.client).unwrap().config.version, 0);
}

#[test]
fn lost_answer_and_outages_have_their_exit_codes() {
    let fixture = Fixture::new("outages");
    fixture.server.set_fault(FaultMode::LosePutAnswers(1));
    let lost = fixture.publish(&["base.toml"]);
    assert_eq!(lost.status.code(), Some(0), "{}", text(&lost));
    assert_eq!(read_config(&fixture.client).unwrap().config.version, 1);
    fixture.server.set_fault(FaultMode::Down);
    fixture.write_workspace("acme", 5);
    let down = fixture.publish(&["base.toml", "acme.toml"]);
    assert_eq!(down.status.code(), Some(4), "{}", text(&down));
}

#[test]
fn racing_publishers_and_operators_lose_no_accepted_change() {
    let fixture = Fixture::new("race");
    fixture.publish(&["base.toml"]);
    let names: Vec<String> = (0..6).map(|number| format!("team-{number}")).collect();
    for name in &names {
        fixture.write_workspace(name, 5);
    }
    let out = OperatorChange::SetDataCentre {
        data_centre: "east".into(),
        state: DataCentreState::Out,
    };
    let codes: Vec<_> = thread::scope(|scope| {
        let publishers: Vec<_> = names
            .iter()
            .map(|name| {
                let file = format!("{name}.toml");
                let fixture = &fixture;
                scope.spawn(move || fixture.publish(&["base.toml", &file]))
            })
            .collect();
        update_config(&fixture.client, Nonce(1), |current| out.apply(current)).unwrap();
        publishers
            .into_iter()
            .map(|publisher| publisher.join().unwrap().status.code())
            .collect()
    });
    let config = read_config(&fixture.client).unwrap().config;
    assert_eq!(config.data_centres["east"].state, DataCentreState::Out);
    assert_eq!(codes, vec![Some(0); names.len()]);
    // A publisher that started after another one's success removes the other's workspace, as its
    // files do not declare it; every accepted change raised the version by one.
    assert_eq!(config.version, 1 + 1 + 6);
}
