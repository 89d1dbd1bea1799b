//! Whole requests and answers.

use std::cell::RefCell;

use actix_http::Method;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use jy_types::name::Name;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    header::PROXY_AUTHORIZATION,
];

/// A connection header that the standard list of names lacks.
const KEEP_ALIVE: &str = "keep-alive";

/// A request that was read whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path and query as they were sent.
    pub target: Name,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Makes a request without headers or body.
    #[must_use]
    pub fn new(method: Method, target: &str) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a body.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Sets a header; a value that no header can carry is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        set_header(&mut self.headers, name, value);
        self
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl HttpAnswer {
    /// Makes an answer with a plain text body.
    #[must_use]
    pub fn new(status: StatusCode, text: &str) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::copy_from_slice(text.as_bytes()),
        }
    }

    /// Sets a header; a value that no header can carry is left out.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        set_header(&mut self.headers, name, value);
        self
    }
}

/// Sets a header; a value that no header can carry is left out with a log line.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!("header {name} left out: {error}"),
    }
}

/// Returns a header's text, if it is there and is text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Removes the headers that concern one connection only, with those that `connection` names.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&listed) {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

/// Returns the codecs' settings, one for each thread, since each new one starts a timer.
#[must_use]
pub(crate) fn codec_config() -> ServiceConfig {
    thread_local! {
        static CONFIG: RefCell<Option<ServiceConfig>> = const { RefCell::new(None) };
    }
    CONFIG.with_borrow_mut(|config| config.get_or_insert_with(ServiceConfig::default).clone())
}
