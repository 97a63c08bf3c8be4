//! Errors of the load generator.

use std::net::SocketAddr;

use miette::Diagnostic;

/// A run could not be completed, or its check failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub(crate) enum LoadError {
    /// An argument has an invalid value.
    #[error("argument --{name}: {cause}")]
    Argument {
        /// The name of the argument, without dashes.
        name: &'static str,
        /// Why the value is invalid.
        cause: String,
    },
    /// A connection to a server or a statement on it failed.
    #[error("connection to or statement on server {address} failed")]
    Server {
        /// The address of the server.
        address: SocketAddr,
        /// The error of the PostgreSQL driver.
        #[source]
        source: postgres::Error,
    },
    /// An answer or result differs from the expected one.
    #[error("expected {expected}, got {found}")]
    Unexpected {
        /// What the run expects.
        expected: String,
        /// What it got instead.
        found: String,
    },
    /// A measurement failed.
    #[error("cannot measure: {cause}")]
    Measurement {
        /// Why the measurement failed.
        cause: String,
    },
}
