//! Tests of declaration files: one report has to list every error and warning of all files, and
//! must not show a key or secret, whatever is wrong with the file.

use insta::assert_snapshot;
use lycheedoor_core::config::Access;
use lycheedoor_settings::InputFile;
use lycheedoor_settings::check_config;
use lycheedoor_settings::read_declarations;
use proptest::prelude::*;

const KEY: &str = "sample tenant group-key 4711";
const SECRET: &str = "c0ffee11c0ffee22c0ffee33c0ffee44c0ffee55c0ffee66c0ffee77c0ffee88";

const SETTINGS_PAGE: &str = include_str!("../../../docs/settings.md");

/// Returns the example of the settings page that starts with the given comment.
fn example(comment: &str) -> &'static str {
    SETTINGS_PAGE
        .split("```")
        .find_map(|block| block.strip_prefix("toml\n")?.strip_prefix(comment))
        .unwrap_or_default()
}

fn file<'a>(name: &'a str, text: &'a str) -> InputFile<'a> {
    InputFile { name, text }
}

#[test]
fn example_of_the_settings_page_is_accepted() {
    let declarations = read_declarations(&[file("page", example("# declarations\n"))]).unwrap();
    assert!(declarations.warnings.faults().is_empty());
    let config = declarations.config;
    assert_eq!(config.workspaces["acme"].burst, 400);
    assert_eq!(config.groups["invoices"].members.len(), 2);
    assert_eq!(config.routes["recent-sequences"].access, Access::Read);
    assert_eq!(config.data_centres.len(), 2);
    assert_eq!(config.session_secrets.len(), 1);
    assert!(check_config(&config).is_empty());
}

#[test]
fn all_faults_of_all_files_are_in_one_report() {
    let billing = format!(
        r#"# comment with {KEY}
[workspace.acme]
key_digests = ["{KEY}"] # {KEY}
rate_per_s = 0
burst = 0
colour = "{KEY}"

[group.invoices]
slots = 3
connections = 2
members.a = {{ address = "10.0.1.1:5432", data_centre = "east" }}
members.b = {{ address = "10.0.1.1:5432", data_centre = "east" }}

[group.empty]
slots = 3
connections = 3

[route.issue]
group = "invoice"
access = "append"
workspaces = ["acme", "globex"]
"#
    );
    let booking = format!(
        r#"[workspace.acme]
rate_per_s = 5
burst = "many"

[data_centre.east]
state = "out"

[session]
secrets = ["{SECRET}", "{SECRET}", "{SECRET}"]

[sesion]
secrets = ["{SECRET}"]
"#
    );
    let report = read_declarations(&[
        file("billing.toml", &billing),
        file("booking.toml", &booking),
    ])
    .err()
    .unwrap();
    let text = report.render();
    assert!(!text.contains(KEY) && !text.contains(SECRET));
    assert!(!format!("{report:?}").contains(KEY));
    assert_snapshot!(format!("{report}\n{text}"));
}

#[test]
fn syntax_errors_show_no_key_or_secret() {
    let text = format!("[session]\nsecrets = [\"{SECRET}\n[workspace.a]\nkey_digests = {KEY}\n");
    let report = read_declarations(&[file("a.toml", &text)]).err().unwrap();
    let rendered = report.render();
    assert!(!rendered.contains(KEY) && !rendered.contains(SECRET));
    assert_snapshot!(rendered);
}

#[test]
fn members_in_one_data_centre_are_a_warning() {
    let text = example("# declarations\n").replace("\"west\"", "\"east\"");
    let declarations = read_declarations(&[file("a.toml", &text)]).unwrap();
    assert_snapshot!(declarations.warnings.render());
}

#[test]
fn two_session_sections_and_none_are_faults() {
    let text = format!("[session]\nsecrets = [\"{SECRET}\"]\n");
    let twice = read_declarations(&[file("a.toml", &text), file("b.toml", &text)]);
    assert_eq!(twice.err().unwrap().faults()[0].file(), "b.toml");
    assert!(read_declarations(&[file("a.toml", "")]).is_err());
    assert!(read_declarations(&[file("a.toml", "[session]\nsecrets = []\n")]).is_err());
}

proptest! {
    #[test]
    fn mutated_files_never_panic_and_reports_show_no_key_or_secret(
        index in 0usize..2_000,
        byte in any::<char>(),
        cut in any::<bool>(),
    ) {
        let valid_file = example("# declarations\n");
        let mut text: Vec<char> = valid_file
            .replace("00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", SECRET)
            .chars()
            .collect();
        let index = index % text.len();
        text[index] = byte;
        if cut {
            text.truncate(index);
        }
        let text: String = text.into_iter().collect();
        if let Err(report) = read_declarations(&[file("a.toml", &text)]) {
            let rendered = report.render();
            prop_assert!(!report.faults().is_empty());
            // Halves of the secret, because the mutation may have changed the other half.
            prop_assert!(!rendered.contains(&SECRET[..24]) && !rendered.contains(&SECRET[24..]));
            prop_assert!(!rendered.contains("e3b0c44298fc1c149afbf4c8"));
            prop_assert!(!rendered.contains("a495991b7852b855"));
        }
    }
}
