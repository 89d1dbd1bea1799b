//! Complete HTTP requests and responses, and functions for their headers.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;

use actix_http::Method;
use actix_http::ServiceConfig;
use actix_http::StatusCode;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use jy_types::name::Name;

use crate::memory_budget::MemoryShare;

/// Headers that apply to a single connection and are not forwarded.
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

/// Connection header for which `actix_http::header` has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// A complete request.
#[derive(Clone)]
pub struct HttpRequest {
    /// Request method.
    pub method: Method,
    /// Path and query as sent by the caller.
    pub target: Name,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Address of the other end of the connection that a listener read the request from; `None` if no listener
    /// did.
    pub peer: Option<SocketAddr>,
}

/// A complete response.
#[derive(Clone)]
pub struct HttpResponse {
    /// Response status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Memory that the body uses, if it was read from a connection with a budget.
    pub memory: Option<MemoryShare>,
}

impl fmt::Debug for HttpRequest {
    /// Formats the request without the values of its headers and without its body, which may hold credentials.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpRequest")
            .field("method", &self.method)
            .field("path", &self.path())
            .field("header_names", &self.headers.keys().collect::<Vec<_>>())
            .field("body_bytes", &self.body.len())
            .finish()
    }
}

impl fmt::Debug for HttpResponse {
    /// Formats the response without the values of its headers and without its body, which may hold records.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpResponse")
            .field("status", &self.status)
            .field("header_names", &self.headers.keys().collect::<Vec<_>>())
            .field("body_bytes", &self.body.len())
            .finish()
    }
}

impl HttpRequest {
    /// Creates a request without headers or body.
    #[must_use]
    pub fn new(method: Method, target: &str) -> Self {
        Self {
            method,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            peer: None,
        }
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }

    /// Sets a header. A value that is not a valid header value is omitted.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        set_header(&mut self.headers, name, value);
        self
    }

    /// Sets the address of the other end of the connection.
    #[must_use]
    pub const fn with_peer(mut self, peer: SocketAddr) -> Self {
        self.peer = Some(peer);
        self
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

impl HttpResponse {
    /// Creates a response with a plain-text body and no headers.
    #[must_use]
    pub fn new(status: StatusCode, text: &str) -> Self {
        Self {
            status,
            headers: HeaderMap::new(),
            body: Bytes::copy_from_slice(text.as_bytes()),
            memory: None,
        }
    }

    /// Sets a header. A value that is not a valid header value is omitted.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        set_header(&mut self.headers, name, value);
        self
    }
}

/// Sets a header. A value that is not a valid header value is omitted and logged.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!("header {name} omitted: {error}"),
    }
}

/// Sets a header to a name, which may contain characters outside ASCII. They are sent as UTF-8. A name with control
/// characters is omitted and logged.
pub fn set_name_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_bytes(value.as_bytes()) {
        Ok(value) => {
            headers.insert(HeaderName::from_static(name), value);
        }
        Err(error) => log::warn!("header {name} omitted: {error}"),
    }
}

/// Returns the name in a header that was set by [`set_name_header`], or none if the header is missing or not UTF-8.
#[must_use]
pub fn header_name_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok()
}

/// Returns the value of a header, or none if the header is missing or its value is not visible ASCII.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Removes the headers that apply to a single connection, including those listed in `Connection`.
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

/// Returns the codec settings of this thread. They are shared because each new `ServiceConfig` starts a timer.
#[must_use]
pub(crate) fn codec_config() -> ServiceConfig {
    thread_local! {
        static CONFIG: RefCell<Option<ServiceConfig>> = const { RefCell::new(None) };
    }
    CONFIG.with_borrow_mut(|config| config.get_or_insert_with(ServiceConfig::default).clone())
}
