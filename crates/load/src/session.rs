//! Connections to VMs and members, with the session token that continues a session on another VM.

use std::net::SocketAddr;
use std::time::Duration;

use postgres::Client;
use postgres::Config;
use postgres::NoTls;
use postgres::SimpleQueryMessage;

use crate::error::LoadError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The credentials of a workspace, and the route to connect to.
pub(crate) struct Login {
    workspace: String,
    key: String,
    route: String,
}

impl Login {
    /// Creates a login from a workspace, its key and a route.
    pub(crate) fn new(workspace: String, key: String, route: String) -> Self {
        Self {
            workspace,
            key,
            route,
        }
    }

    /// Returns a login with the same credentials for another route.
    pub(crate) fn on_route(&self, route: &str) -> Self {
        Self {
            workspace: self.workspace.clone(),
            key: self.key.clone(),
            route: route.to_owned(),
        }
    }

    /// Connects to a server; continues the session of `token` if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error with the server's address if the connection or the login fails.
    pub(crate) fn connect(
        &self,
        address: SocketAddr,
        token: Option<&str>,
    ) -> Result<Client, LoadError> {
        let mut config = Config::new();
        config
            .host(&address.ip().to_string())
            .port(address.port())
            .user(&self.workspace)
            .password(&self.key)
            .dbname(&self.route)
            .connect_timeout(CONNECT_TIMEOUT);
        if let Some(token) = token {
            config.options(&format!("-c lycheedoor.session={token}"));
        }
        config
            .connect(NoTls)
            .map_err(|source| LoadError::Server { address, source })
    }
}

/// Runs a statement and returns the first column of its first row.
///
/// # Errors
///
/// Returns an error if the statement fails or returns no row.
pub(crate) fn query_text(
    client: &mut Client,
    address: SocketAddr,
    statement: &str,
) -> Result<String, LoadError> {
    let messages = client
        .simple_query(statement)
        .map_err(|source| LoadError::Server { address, source })?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    row.map(str::to_owned).ok_or_else(|| LoadError::Unexpected {
        expected: format!("a row for {statement:?}"),
        found: "none".to_owned(),
    })
}
