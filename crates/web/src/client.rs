//! An HTTP client whose errors tell whether a request was sent.
//!
//! Callers whose requests must not be sent twice depend on that, so [`ClientError::NotSent`] is only
//! returned if no connection was made. A pooled connection may be dead or closed by the peer, which
//! shows only after the request was written, so [`Client::unpooled`] creates a client that opens a
//! new connection for each request.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use http::HeaderMap;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use volo::net::Address;
use volo_http::body::Body;
use volo_http::client::CallOpt;
use volo_http::client::ClientBuilder;
use volo_http::error::client::ErrorKind;

use crate::body;
use crate::causes::with_causes;
use crate::framing::without_framing;
use crate::memory::ByteBudget;
use crate::reply::Response;

/// Time for which an idle connection is kept for reuse.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest JSON response that is read, in bytes.
const MAX_JSON_BYTES: usize = 64 << 20;
/// Budget of the JSON responses of a client that are being read, unless it is given another one; an address gets half
/// of it.
const JSON_BUDGET_BYTES: usize = 3 * MAX_JSON_BYTES;

/// Why a request failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum ClientError {
    /// {address}: not sent: {problem}
    NotSent {
        /// Address that the request was meant for.
        address: SocketAddr,
        /// Why it was not sent.
        problem: Box<str>,
    },
    /// {address}: no complete response: {problem}
    Incomplete {
        /// Address that the request was sent to.
        address: SocketAddr,
        /// Why the response is missing or incomplete.
        problem: Box<str>,
    },
    /// {address}: status {status}: {body}
    Status {
        /// Address that the request was sent to.
        address: SocketAddr,
        /// The status code.
        status: u16,
        /// The body of the response.
        body: Box<str>,
    },
}

impl Error for ClientError {}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
}

impl<'a> Call<'a> {
    /// Returns a call with neither headers nor a body.
    pub fn new(method: Method, path: &'a str) -> Self {
        Call { method, path, headers: HeaderMap::new(), body: bytes::Bytes::new() }
    }
}

/// An HTTP client. Clones share the same pool.
#[derive(Clone)]
pub struct Client {
    inner: volo_http::client::Client,
    connect_timeout: Duration,
    /// What the JSON responses that are being read may hold; the holders are the addresses that send them.
    memory: ByteBudget,
}

impl Client {
    /// Creates a client that reuses connections.
    pub fn pooled(connect_timeout: Duration) -> Self {
        Client::build(connect_timeout, usize::MAX)
    }

    /// Creates a client that opens a new connection for each request.
    pub fn unpooled(connect_timeout: Duration) -> Self {
        Client::build(connect_timeout, 0)
    }

    fn build(connect_timeout: Duration, idle_per_host: usize) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_connect_timeout(connect_timeout);
        builder.set_pool_idle_timeout(POOL_IDLE_TIMEOUT);
        builder.set_max_idle_per_host(idle_per_host);
        let inner = builder.build().expect("the client's settings are valid");
        Client { inner, connect_timeout, memory: ByteBudget::new(JSON_BUDGET_BYTES) }
    }

    /// Returns the client with JSON responses that hold no more than `memory` has.
    pub fn within(self, memory: ByteBudget) -> Self {
        Client { memory, ..self }
    }

    /// Sends `call` and returns the response as soon as its headers have arrived, within `timeout`. They say
    /// nothing of how its connection delimited it, but for its length; its extensions have the
    /// [`Delimiter`](crate::framing::Delimiter).
    pub async fn send(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let uri = format!("http://{address}{}", call.path);
        let mut builder = self.inner.request(call.method, uri).address(Address::from(address));
        builder.headers_mut().extend(call.headers);
        let opt = CallOpt::new().with_timeout(timeout.max(self.connect_timeout));
        let sent = builder.body(Body::from(call.body)).with_callopt(opt).send();
        match tokio::time::timeout(timeout, sent).await {
            Ok(Ok(response)) => Ok(without_framing(response)),
            Ok(Err(error)) if was_not_sent(&error) => {
                Err(ClientError::NotSent { address, problem: with_causes(&error) })
            }
            Ok(Err(error)) => {
                Err(ClientError::Incomplete { address, problem: with_causes(&error) })
            }
            Err(_) => {
                let problem = format!("no response within {timeout:?}").into();
                Err(ClientError::Incomplete { address, problem })
            }
        }
    }

    /// Sends `value` as JSON and reads the JSON response, all within `timeout`.
    pub async fn json<A: Serialize + ?Sized, B: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        value: Option<&A>,
        timeout: Duration,
    ) -> Result<B, ClientError> {
        let exchange = async {
            let response = self.send(address, json_call(method, path, value), timeout).await?;
            let status = response.status();
            let grant = self.memory.grant(&address.ip().to_string());
            let read = body::read_granted(response.into_body(), MAX_JSON_BYTES, grant).await;
            decode_json(address, status, read)
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let problem = format!("no response within {timeout:?}").into();
                Err(ClientError::Incomplete { address, problem })
            }
        }
    }

    /// Sends `value` as JSON and reads the JSON response, however long that takes, as long as no
    /// part of it takes longer than `idle_timeout`.
    ///
    /// A response that is large for the link is thus not given up and requested again.
    pub async fn json_with_idle_timeout<A: Serialize + ?Sized, B: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        value: Option<&A>,
        idle_timeout: Duration,
    ) -> Result<B, ClientError> {
        let response = self.send(address, json_call(method, path, value), idle_timeout).await?;
        let status = response.status();
        let (body, grant) = (response.into_body(), self.memory.grant(&address.ip().to_string()));
        let reading =
            body::read_granted_with_idle_timeout(body, MAX_JSON_BYTES, grant, idle_timeout);
        decode_json(address, status, reading.await)
    }
}

fn json_call<'a, A: Serialize + ?Sized>(
    method: Method,
    path: &'a str,
    value: Option<&A>,
) -> Call<'a> {
    let mut call = Call::new(method, path);
    if let Some(value) = value {
        call.body = serde_json::to_vec(value).expect("request types have a JSON form").into();
        let media = http::HeaderValue::from_static("application/json");
        call.headers.insert(http::header::CONTENT_TYPE, media);
    }
    call
}

fn decode_json<B: DeserializeOwned>(
    address: SocketAddr,
    status: http::StatusCode,
    read: Result<bytes::Bytes, body::GrantedBodyError>,
) -> Result<B, ClientError> {
    let incomplete = |problem: String| ClientError::Incomplete { address, problem: problem.into() };
    let bytes = read.map_err(|error| incomplete(error.to_string()))?;
    if !status.is_success() {
        let body = String::from_utf8_lossy(&bytes).into();
        return Err(ClientError::Status { address, status: status.as_u16(), body });
    }
    serde_json::from_slice(&bytes).map_err(|error| incomplete(error.to_string()))
}

/// Returns whether the error shows that no connection was made.
///
/// An I/O error as the direct source comes from connecting; once a request is being sent, all errors
/// come from the HTTP layer.
fn was_not_sent(error: &volo_http::error::ClientError) -> bool {
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder => true,
        _ => error.source().is_some_and(|source| source.is::<std::io::Error>()),
    }
}
