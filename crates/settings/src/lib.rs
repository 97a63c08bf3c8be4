//! Parsing of the settings of a VM's process and of the declaration files of services.
//!
//! Both are TOML. A file is checked as a whole: a [`Report`] lists all errors and warnings at once,
//! each with file, line and key, and the typed value is returned only when there is no error.
//! Unknown keys are errors.
//!
//! Reports quote the affected lines. In these lines, values that could be keys or secrets, comments
//! and everything else that is not known to be safe to show are masked.

mod declaration;
mod fault;
mod keys;
mod parse;
mod reader;
mod source;
mod vm;

pub use declaration::Declarations;
pub use declaration::check_config;
pub use declaration::read_declarations;
pub use fault::Fault;
pub use fault::Report;
pub use keys::KEYS;
pub use source::InputFile;
pub use vm::LimitSettings;
pub use vm::ListenSettings;
pub use vm::LogFormat;
pub use vm::LogSettings;
pub use vm::PlatformSettings;
pub use vm::VmSettings;
