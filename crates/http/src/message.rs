//! HTTP methods and decoded messages.

use std::fmt;

use bytes::Bytes;

use crate::decode::MAX_HEADER_FIELDS;

/// A request method; the ones that this project uses are supported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads the object at the path.
    Get,
    /// Writes the object at the path.
    Put,
    /// Sends the body to the path for processing.
    Post,
    /// Removes the object at the path.
    Delete,
}

impl Method {
    /// Returns the method's name as it is sent.
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

/// A decoded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method of the request line.
    pub method: Method,
    /// The path and query of the request line, without percent-decoding.
    pub target: String,
    /// The body; empty when there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the first value of a query parameter, without percent-decoding.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// A decoded response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// The status code of the status line.
    pub status: u16,
    /// The status line and the header fields, as they were received.
    pub head: Bytes,
    /// The body; empty when there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the value of the first header field with a name; `None` without one, or if it is no
    /// text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        parsed.parse(&self.head).ok()?;
        let mut fields = parsed.headers.iter();
        let field = fields.find(|field| field.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(field.value).ok().map(str::trim)
    }
}
