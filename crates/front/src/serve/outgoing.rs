//! What is sent to a backend server: a caller's request without the headers of its connection, and with the system's own.

use base::hash::stable;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::header;
use pass::prelude::*;
use route::prelude::Fingerprint;
use route::request::body_fingerprint;
use web::body;
use web::prelude::*;

use super::ActiveRequest;
use crate::decision_log;

/// Headers that apply to one connection only and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A caller's request, without the headers of its connection.
pub(crate) struct OutgoingRequest {
    pub(super) method: Method,
    pub(super) target: Box<str>,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl OutgoingRequest {
    /// Reads a caller's request with its whole body, which may have up to `limit` bytes and takes them with
    /// `grant`.
    pub(crate) async fn read(
        request: Request,
        limit: usize,
        grant: Grant,
    ) -> Result<Self, GrantedBodyError> {
        let target = match &*request.query {
            "" => request.path.clone(),
            query => format!("{}?{query}", request.path).into(),
        };
        let mut headers = request.headers;
        strip_connection_headers(&mut headers);
        let body = body::read_granted(request.body, limit, grant).await?;
        Ok(OutgoingRequest { method: request.method, target, headers, body })
    }

    /// Returns the hash of the request's workspace, method, target and body. It is the same whenever
    /// the caller sends the request, under whichever id.
    pub(crate) fn fingerprint(&self, workspace: &str) -> Fingerprint {
        let text = format!("{} {} {:x}", self.method, self.target, stable(&self.body));
        body_fingerprint(workspace, text.as_bytes())
    }
}

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Builds the request to the backend server of an endpoint.
pub(super) fn build(
    active: &ActiveRequest,
    endpoint: &Endpoint,
    after: Option<&str>,
) -> http::Request<Bytes> {
    let header_names = &active.state.integration.header_names;
    let outgoing = &active.outgoing;
    let mut request = http::Request::new(outgoing.body.clone());
    *request.method_mut() = outgoing.method.clone();
    // The target was parsed from a request, so it parses again.
    *request.uri_mut() = outgoing.target.parse().unwrap_or_default();
    let mut headers = outgoing.headers.clone();
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(header::AUTHORIZATION);
    headers.remove(&header_names.only_server);
    headers.remove(&header_names.priority);
    headers.remove(&header_names.workspace);
    let left = active.deadline.saturating_sub(active.now());
    set(&mut headers, &header_names.deadline_ms, &decision_log::millis(left).max(1).to_string());
    set(&mut headers, &header_names.only_server, &endpoint.server);
    if let Some(workspace) = &active.routed.workspace {
        set(&mut headers, &header_names.workspace, workspace);
    }
    if let Some(after) = after {
        set(&mut headers, &HeaderName::from_static("last-event-id"), after);
        set(&mut headers, &header_names.priority, "0");
    }
    *request.headers_mut() = headers;
    request
}

/// Sets a header; an invalid value is left out.
pub(super) fn set(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => log::warn!("left out header `{name}`, its value is invalid: {error}"),
    }
}
