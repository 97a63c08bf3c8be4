//! Checks the declaration files of all services and publishes them as one configuration.

mod cli;
mod difference;

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
            Self::File { .. } | Self::InvalidFiles(_) => EXIT_INVALID_FILES,
            Self::Read(_) => EXIT_UNAVAILABLE,
            Self::UnexpectedVersion(_) => EXIT_REFUSED,
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
    let config = read_declaration_files(&options.files)?;
    match options.platform {
        Some(address) if !options.check => {
            let client = Client::new(address, options.timeout);
            publish(&client, config, options.expected_version)
        }
        _ => {
            println!("declarations are valid");
            Ok(())
        }
    }
}

fn read_declaration_files(names: &[String]) -> Result<Config, PublishError> {
    let mut texts = Vec::new();
    for name in names {
        let text = fs::read_to_string(name).map_err(|error| PublishError::File {
            file: name.clone(),
            error,
        })?;
        texts.push(text);
    }
    let files: Vec<_> = names
        .iter()
        .zip(&texts)
        .map(|(name, text)| InputFile { name, text })
        .collect();
    match read_declarations(&files) {
        Ok(declarations) => {
            eprint!("{}", declarations.warnings.render());
            Ok(declarations.config)
        }
        Err(report) => {
            eprint!("{}", report.render());
            Err(PublishError::InvalidFiles(report))
        }
    }
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
