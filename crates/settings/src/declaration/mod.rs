//! Reads the declaration files of all services into one configuration.

mod check;
mod declaration_set;
mod read;

pub use check::check_config;

use lycheedoor_core::config::Config;

use crate::declaration::declaration_set::DeclarationSet;
use crate::fault::Fault;
use crate::fault::Report;
use crate::source::InputFile;
use crate::source::Source;

/// A valid configuration and the warnings about it.
#[derive(Clone)]
pub struct Declarations {
    /// The configuration, with version 0 and every data centre and member in service.
    pub config: Config,
    /// Warnings about what is allowed but probably a mistake; has no errors.
    pub warnings: Report,
}

/// Reads the declaration files of all services and checks them as one configuration.
///
/// # Errors
///
/// Returns a report of all errors and warnings of all files when there is any error.
pub fn read_declarations(files: &[InputFile<'_>]) -> Result<Declarations, Report> {
    let mut faults = Vec::new();
    let mut parsed = Vec::new();
    for file in files {
        let previous_count = faults.len();
        let (source, table) = Source::parse(*file, &mut faults);
        parsed.push((source, table, faults.len() == previous_count));
    }
    let mut declarations = DeclarationSet::default();
    for (source, table, well_formed) in &parsed {
        let mut file_faults = Vec::new();
        read::read_file(source, table.get_ref(), &mut declarations, &mut file_faults);
        // A file with syntax errors still declares the names that could be parsed, but further
        // faults in it would only be consequences of the syntax errors.
        if *well_formed {
            faults.append(&mut file_faults);
        }
    }
    if let Some((source, ..)) = parsed.last() {
        declarations.check_references(source, &mut faults);
    }
    let config = declarations.into_config();
    if faults.iter().any(Fault::is_error) {
        return Err(Report::new(faults));
    }
    Ok(Declarations {
        config,
        warnings: Report::new(faults),
    })
}
