//! Checks the declaration files of all services and publishes them as one configuration.

mod cli;
mod difference;
mod findings;

use std::fs;
use std::io;
use std::process::ExitCode;

use lycheedoor_core::config::Config;
use lycheedoor_platform::Client;
use lycheedoor_platform::EXIT_REFUSED;
use lycheedoor_platform::EXIT_UNAVAILABLE;
use lycheedoor_platform::MergeConflict;
use lycheedoor_platform::PlatformError;
use lycheedoor_platform::Publication;
use lycheedoor_platform::PublishedConfig;
use lycheedoor_platform::UpdateError;
use lycheedoor_platform::random_nonce;
use lycheedoor_platform::read_config;
use lycheedoor_platform::update_config;
use lycheedoor_settings::Declarations;
use lycheedoor_settings::InputFile;
use lycheedoor_settings::check_config;
use lycheedoor_settings::read_declarations;

use crate::cli::Options;

/// The exit code when a file cannot be read or has errors.
const EXIT_INVALID_FILES: u8 = 1;

/// Why the declarations cannot be merged with the configuration that others have published.
#[derive(Debug, thiserror::Error)]
enum MergeError {
    #[error(transparent)]
    Conflict(#[from] MergeConflict),
    #[error("the declarations conflict with another change: {}", .0.join("; "))]
    InvalidReferences(Vec<String>),
}

/// Why nothing was published, or why it is unknown whether it was.
#[derive(Debug, thiserror::Error)]
enum PublishError {
    #[error("{file}: {error}")]
    File { file: String, error: io::Error },
    #[error("nothing was published: {0}")]
    InvalidFiles(lycheedoor_settings::Report),
    #[error("{0} warnings, which --deny-warnings does not allow")]
    DeniedWarnings(usize),
    #[error(transparent)]
    Merge(#[from] MergeError),
    #[error("{0}; nothing was published")]
    Read(PlatformError),
    #[error("version {0} is in force, which is not the expected version; nothing was published")]
    UnexpectedVersion(u64),
    #[error(transparent)]
    Update(#[from] UpdateError<MergeError>),
}

impl PublishError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::File { .. } | Self::InvalidFiles(_) | Self::DeniedWarnings(_) => {
                EXIT_INVALID_FILES
            }
            Self::Read(_) => EXIT_UNAVAILABLE,
            Self::UnexpectedVersion(_) | Self::Merge(_) => EXIT_REFUSED,
            Self::Update(error) => error.exit_code(),
        }
    }
}

fn main() -> ExitCode {
    let options = Options::from_matches(&cli::command().get_matches());
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lycheedoor-publish: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(options: &Options) -> Result<(), PublishError> {
    let texts = read_texts(&options.files)?;
    let files: Vec<_> = options
        .files
        .iter()
        .zip(&texts)
        .map(|(name, text)| InputFile { name, text })
        .collect();
    let declarations = check_files(&files)?;
    if options.inspect {
        return inspect(options, &files, declarations);
    }
    match options.platform {
        Some(address) if !options.check => {
            let client = Client::new(address, options.timeout);
            publish(&client, declarations.config, options.expected_version)
        }
        _ => {
            println!("declarations are valid");
            Ok(())
        }
    }
}

fn read_texts(names: &[String]) -> Result<Vec<String>, PublishError> {
    let read = |name: &String| {
        fs::read_to_string(name).map_err(|error| PublishError::File {
            file: name.clone(),
            error,
        })
    };
    names.iter().map(read).collect()
}

fn check_files(files: &[InputFile<'_>]) -> Result<Declarations, PublishError> {
    match read_declarations(files) {
        Ok(declarations) => {
            eprint!("{}", declarations.warnings.render());
            Ok(declarations)
        }
        Err(report) => {
            eprint!("{}", report.render());
            Err(PublishError::InvalidFiles(report))
        }
    }
}

/// Reports findings about the configuration that a publication would put in force, and how it
/// differs from the one in force. Without a platform, reports findings about the files alone.
fn inspect(
    options: &Options,
    files: &[InputFile<'_>],
    declarations: Declarations,
) -> Result<(), PublishError> {
    let mut config = declarations.config;
    let mut in_force = None;
    if let Some(address) = options.platform {
        let client = Client::new(address, options.timeout);
        let base = read_config(&client).map_err(PublishError::Read)?;
        // Keys that operators granted or withdrew by command decide which entries can match.
        config = merge(&Publication::new(base.clone(), config), &base)?.config;
        in_force = Some(base.config);
    }
    let findings = findings::find(&config);
    for finding in &findings {
        eprint!("{}", finding.render(files));
    }
    match in_force {
        Some(before) => {
            print!("{}", difference::describe(&before, &config));
            println!("compared with version {}", before.version);
        }
        None => println!(
            "not compared with the version in force, nor with keys set by command: no --platform"
        ),
    }
    let warnings = declarations.warnings.faults().len() + findings.len();
    if options.deny_warnings && warnings > 0 {
        return Err(PublishError::DeniedWarnings(warnings));
    }
    println!("declarations are valid, with {warnings} warnings");
    Ok(())
}

fn publish(
    client: &Client,
    declared: Config,
    expected_version: Option<u64>,
) -> Result<(), PublishError> {
    let base = read_config(client).map_err(PublishError::Read)?;
    let version = base.config.version;
    if expected_version.is_some_and(|expected| expected != version) {
        return Err(PublishError::UnexpectedVersion(version));
    }
    let previous = base.config.clone();
    let publication = Publication::new(base, declared);
    let mut published = previous.clone();
    let updated = update_config(client, random_nonce(), |current| {
        let next = merge(&publication, current)?;
        published = next.config.clone();
        Ok(next)
    })?;
    if updated.changed {
        print!("{}", difference::describe(&previous, &published));
        println!("published version {}", updated.version);
    } else {
        println!("nothing to change; version {} is in force", updated.version);
    }
    Ok(())
}

/// Merges a publication into the current configuration, and checks the result, because others may
/// have published since the declarations were checked.
fn merge(
    publication: &Publication,
    current: &PublishedConfig,
) -> Result<PublishedConfig, MergeError> {
    let next = publication.apply(current)?;
    let faults = check_config(&next.config);
    if faults.is_empty() {
        Ok(next)
    } else {
        Err(MergeError::InvalidReferences(faults))
    }
}
