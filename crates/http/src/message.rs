//! Whole HTTP messages.

use std::fmt;

/// The request methods that the project uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads an object.
    Get,
    /// Writes an object.
    Put,
    /// Sends a message.
    Post,
    /// Removes an object.
    Delete,
}

impl Method {
    /// Returns the method's name on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Put => "PUT",
            Self::Post => "POST",
            Self::Delete => "DELETE",
        }
    }

    pub(crate) fn parse(name: &str) -> Option<Self> {
        [Self::Get, Self::Put, Self::Post, Self::Delete]
            .into_iter()
            .find(|method| method.as_str() == name)
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path with its query, as sent.
    pub target: String,
    /// The body; empty when there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter, as sent.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body; empty when there is none.
    pub body: Vec<u8>,
}
