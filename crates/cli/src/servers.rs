//! Client of the daemons' operator API.
//!
//! A read is sent to the servers in turn until one responds. A write fails over to the next server
//! only if it was definitely not applied: it was never sent, or the server said so. If a server does
//! not respond after a write was sent, all servers are polled for the status of the write by its
//! id. The write itself is not sent again.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use base::prelude::*;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::IF_MATCH;
use serde::de::DeserializeOwned;
use spec::api::ChangeView;
use spec::api::ErrorKind;
use spec::api::ErrorView;
use spec::api::WRITE_ID_HEADER;
use spec::api::WriteStatusView;
use web::body;
use web::client::Call;
use web::prelude::*;

use crate::failure::Failure;

/// Timeout of a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the status of an indeterminate write is polled. Longer than a daemon takes to answer a
/// change.
const WRITE_STATUS_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay between two rounds of polling.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of the servers given on the command line.
#[derive(Clone)]
pub struct Servers {
    addresses: Vec<SocketAddr>,
    token: Option<Box<str>>,
    timeout: Duration,
    poll_timeout: Duration,
    client: Client,
}

/// A write request.
#[derive(Clone, Debug)]
pub struct Write {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body.
    pub body: String,
    /// The revision that the resource must have, if the write is conditional.
    pub revision: Option<Revision>,
    /// The id of the write.
    pub write_id: WriteId,
}

impl Servers {
    /// Creates a client of the servers at `addresses`; `timeout` is that of each response.
    pub fn new(addresses: Vec<SocketAddr>, token: Option<Box<str>>, timeout: Duration) -> Self {
        let client = Client::unpooled(CONNECT_TIMEOUT);
        Servers { addresses, token, timeout, poll_timeout: WRITE_STATUS_TIMEOUT, client }
    }

    /// Sets how long the status of an indeterminate write is polled.
    pub fn with_poll_timeout(self, period: Duration) -> Self {
        Servers { poll_timeout: period, ..self }
    }

    /// Returns the servers' addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Reads `path` from the first server that responds.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let mut problems = Vec::new();
        for address in &self.addresses {
            match self.read_from(*address, path).await {
                Err(Failure::Unreachable(problem)) => problems.push(problem),
                response => return response,
            }
        }
        Err(Failure::Unreachable(problems.join("; ").into()))
    }

    /// Reads `path` from one server.
    pub async fn read_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Failure> {
        let call = self.call(Method::GET, path, None);
        match self.exchange(address, call).await {
            Ok(response) => response.and_then(|text| parse(address, &text)),
            Err(error) => Err(Failure::Unreachable(error.to_string().into())),
        }
    }

    /// Opens a streamed response of the first server that responds.
    pub async fn open(&self, path: &str) -> Result<Response, Failure> {
        let mut problems = Vec::new();
        for address in &self.addresses {
            let call = self.call(Method::GET, path, None);
            match self.client.send(*address, call, self.timeout).await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => {
                    let status = response.status();
                    let text = body::read(response.into_body(), MAX_RESPONSE_BYTES).await;
                    let text = text.unwrap_or_default();
                    return Err(failure(status, &String::from_utf8_lossy(&text)));
                }
                Err(error) => problems.push(error.to_string()),
            }
        }
        Err(Failure::Unreachable(problems.join("; ").into()))
    }

    /// Sends a write. If a server does not respond to it, polls all servers for its status.
    pub async fn write(&self, write: &Write) -> Result<ChangeView, Failure> {
        let mut last_failure = Failure::Unreachable("no server was given".into());
        for address in &self.addresses {
            let mut call = self.call(write.method.clone(), &write.path, Some(write));
            call.body = write.body.clone().into();
            last_failure = match self.exchange(*address, call).await {
                Ok(Ok(text)) => return parse(*address, &text),
                Ok(Err(failure @ Failure::NotApplied(_))) => failure,
                Ok(Err(failure)) => return Err(failure),
                Err(ClientError::NotSent { problem, .. }) => {
                    Failure::Unreachable(format!("{address}: {problem}").into())
                }
                Err(_) => return self.poll_status(write.write_id).await,
            };
        }
        Err(last_failure)
    }

    /// Polls all servers for the status of a write until one knows that it was applied.
    async fn poll_status(&self, write_id: WriteId) -> Result<ChangeView, Failure> {
        let started = Instant::now();
        while started.elapsed() < self.poll_timeout {
            for address in &self.addresses {
                let path = format!("/api/v1/writes/{write_id}");
                let status = self.read_from::<WriteStatusView>(*address, &path).await;
                if let Ok(WriteStatusView::Applied { revision }) = status {
                    return Ok(ChangeView { revision, changed: true, write_id, dry_run: false });
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Failure::Unknown { write_id })
    }

    fn call<'a>(&self, method: Method, path: &'a str, write: Option<&Write>) -> Call<'a> {
        let mut headers = HeaderMap::new();
        if let Some(token) = &self.token
            && let Ok(mut value) = HeaderValue::from_str(&format!("Bearer {token}"))
        {
            value.set_sensitive(true);
            headers.insert(AUTHORIZATION, value);
        }
        if let Some(write) = write {
            headers.insert(WRITE_ID_HEADER, HeaderValue::from(write.write_id));
            if let Some(revision) = write.revision
                && let Ok(value) = HeaderValue::from_str(&format!("\"{revision}\""))
            {
                headers.insert(IF_MATCH, value);
            }
        }
        Call { headers, ..Call::new(method, path) }
    }

    /// Sends a call and reads the whole response: its text, or the failure that it reports.
    async fn exchange(
        &self,
        address: SocketAddr,
        call: Call<'_>,
    ) -> Result<Result<String, Failure>, ClientError> {
        let response = self.client.send(address, call, self.timeout).await?;
        let status = response.status();
        let broken = |problem: String| ClientError::Incomplete { address, problem: problem.into() };
        let read = body::read(response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = tokio::time::timeout(self.timeout, read).await;
        let bytes = bytes
            .map_err(|_| broken("the response was not complete within the timeout".to_owned()))?;
        let bytes = bytes.map_err(|error| broken(error.to_string()))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        Ok(if status.is_success() { Ok(text) } else { Err(failure(status, &text)) })
    }
}

fn parse<T: DeserializeOwned>(address: SocketAddr, text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|error| {
        let message = format!("{address}: the response is malformed: {error}");
        Failure::from_response(ErrorView::new(ErrorKind::BadRequest, message))
    })
}

fn failure(status: http::StatusCode, text: &str) -> Failure {
    let response = serde_json::from_str(text).unwrap_or_else(|_| {
        ErrorView::new(ErrorKind::BadRequest, format!("status {status}: {}", text.trim()))
    });
    Failure::from_response(response)
}
