//! Requests and responses, and builders of responses for handlers.

use std::net::SocketAddr;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use volo_http::body::Body;

/// An HTTP response.
pub type Response = http::Response<Body>;

/// A request as a handler receives it.
pub struct Request {
    /// The method.
    pub method: Method,
    /// The path, without the query.
    pub path: Box<str>,
    /// The query string, without its question mark; empty if there is none.
    pub query: Box<str>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, not yet read.
    pub body: Body,
    /// Address of the peer, if the connection has an IP address.
    pub peer: Option<SocketAddr>,
    /// Whether the listener has more connections than it serves, so that the request must be refused.
    pub is_surplus: bool,
}

impl Request {
    /// Returns the path's segments, without empty ones.
    pub fn segments(&self) -> Vec<&str> {
        self.path.split('/').filter(|segment| !segment.is_empty()).collect()
    }

    /// Returns the header `name`, if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Returns the bearer token of the `Authorization` header, if there is one.
    pub fn bearer(&self) -> Option<&str> {
        let value = self.header("authorization")?;
        let (scheme, token) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
    }

    /// Returns the first value of `name` in the query string, without percent-decoding.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}

/// Returns a response with the status `status` and `value` as its JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_string(value).expect("response types have a JSON form");
    with_type(status, "application/json", text)
}

/// Returns a response with the status `status` and `text` as its plain-text body.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    with_type(status, "text/plain; charset=utf-8", text.into())
}

/// Returns a response with the status `status` and `body` of the media type `media`.
pub fn with_type(status: StatusCode, media: &'static str, body: impl Into<Body>) -> Response {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(media));
    response
}

/// Returns a response with the status `status` and no body.
pub fn empty(status: StatusCode) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}
