//! A store reached over the network, through the etcd v3 protocol.
//!
//! One connection is in use at a time. When a call times out or its connection breaks, that
//! connection is dropped and never used again, and the next call connects to the next endpoint. A
//! new connection is verified by one read before any write is sent on it.
//!
//! Errors preserve what is known of a write. [`KvError::Unavailable`] is returned only if the write
//! was certainly not carried out: no connection could be made, or the service reported that it has
//! no leader. A write that was sent and has no response is [`KvError::Indeterminate`].

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use proto::etcdserverpb as pb;
use proto::etcdserverpb::kv_client::KvClient;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::AsciiMetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::etcd_watch;
use crate::store::CasResult;
use crate::store::KvError;
use crate::store::ListResult;
use crate::store::Store;
use crate::store::StoreFuture;
use crate::store::Versioned;
use crate::store::Watched;

/// Largest message that is decoded, in bytes. A list may hold many values of up to 1 MB.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Time after a failed connection attempt during which calls fail without another attempt.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Retry time when the service's rate limit refuses a call, since the status carries none.
const LIMITED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Status message of a call that was not carried out because the cluster has no leader.
const NO_LEADER: &str = "etcdserver: no leader";

/// Connection settings of an [`EtcdStore`].
#[derive(Clone, Debug, PartialEq)]
pub struct EtcdSettings {
    /// Addresses such as `http://10.0.0.1:2379`, tried in turn.
    pub endpoints: Vec<Box<str>>,
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Timeout of a connection attempt.
    pub connect_timeout: Duration,
    /// Time between HTTP/2 pings, also on an idle connection.
    pub keepalive_period: Duration,
    /// Timeout of a ping, after which the connection is closed.
    pub keepalive_timeout: Duration,
    /// Authentication token that is sent with each call, if the service requires one.
    pub token: Option<Box<str>>,
}

impl EtcdSettings {
    /// Returns settings with timeouts that suit a service that responds within milliseconds.
    pub fn new(endpoints: Vec<Box<str>>) -> Self {
        EtcdSettings {
            endpoints,
            call_timeout: Duration::from_secs(1),
            connect_timeout: Duration::from_millis(500),
            keepalive_period: Duration::from_secs(2),
            keepalive_timeout: Duration::from_secs(1),
            token: None,
        }
    }
}

#[derive(Clone)]
struct Connection {
    number: u64,
    channel: Channel,
}

#[derive(Default)]
struct State {
    connection: Option<Connection>,
    attempts: u64,
    last_failure: Option<Instant>,
}

/// A store reached over the network.
pub struct EtcdStore {
    settings: EtcdSettings,
    endpoints: Vec<Endpoint>,
    token: Option<AsciiMetadataValue>,
    state: Mutex<State>,
}

impl EtcdStore {
    /// Checks the settings. No connection is made yet.
    ///
    /// # Errors
    ///
    /// [`KvError::Malformed`] names the endpoint or token that is no address or header value.
    pub fn new(settings: EtcdSettings) -> Result<Self, KvError> {
        let malformed = |key: &str, problem: String| KvError::Malformed {
            key: key.into(),
            problem: problem.into(),
        };
        if settings.endpoints.is_empty() {
            return Err(malformed("endpoints", "at least one is required".to_owned()));
        }
        let mut endpoints = Vec::new();
        for address in &settings.endpoints {
            let endpoint = Endpoint::from_shared(address.to_string())
                .map_err(|error| malformed(address, error.to_string()))?
                .connect_timeout(settings.connect_timeout)
                .tcp_nodelay(true)
                .http2_keep_alive_interval(settings.keepalive_period)
                .keep_alive_timeout(settings.keepalive_timeout)
                .keep_alive_while_idle(true);
            endpoints.push(endpoint);
        }
        let token = settings.token.as_deref().map(AsciiMetadataValue::try_from).transpose();
        let token = token.map_err(|error| malformed("token", error.to_string()))?;
        Ok(EtcdStore { settings, endpoints, token, state: Mutex::default() })
    }

    /// Wraps `message` into a request with the metadata of every call.
    pub(crate) fn request<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        req.metadata_mut().insert("hasleader", AsciiMetadataValue::from_static("true"));
        if let Some(token) = &self.token {
            req.metadata_mut().insert("token", token.clone());
        }
        req
    }

    /// Returns the current connection, or opens one.
    async fn connection(&self) -> Result<Connection, KvError> {
        let mut state = self.state.lock().await;
        if let Some(connection) = &state.connection {
            return Ok(connection.clone());
        }
        if state.last_failure.is_some_and(|failed| failed.elapsed() < RECONNECT_PAUSE) {
            return Err(KvError::Unavailable);
        }
        for _ in 0..self.endpoints.len() {
            let number = state.attempts;
            state.attempts += 1;
            let endpoint = &self.endpoints[number as usize % self.endpoints.len()];
            if let Some(channel) = self.connect(endpoint).await {
                let connection = Connection { number, channel };
                state.connection = Some(connection.clone());
                state.last_failure = None;
                return Ok(connection);
            }
        }
        state.last_failure = Some(Instant::now());
        Err(KvError::Unavailable)
    }

    /// Connects to `endpoint` and verifies the connection by a read.
    async fn connect(&self, endpoint: &Endpoint) -> Option<Channel> {
        let connecting = tokio::time::timeout(self.settings.connect_timeout, endpoint.connect());
        let channel = connecting.await.ok()?.ok()?;
        let message =
            pb::RangeRequest { key: Bytes::from_static(b"\0"), limit: 1, ..Default::default() };
        let mut client = KvClient::new(channel.clone());
        let probe = client.range(self.request(message));
        match tokio::time::timeout(self.settings.call_timeout, probe).await {
            Ok(Ok(_)) => Some(channel),
            // The endpoint works; the call itself will meet the rate limit.
            Ok(Err(status)) if status.code() == Code::ResourceExhausted => Some(channel),
            _ => None,
        }
    }

    /// Drops the connection `number` after a failure, unless another has replaced it.
    async fn discard(&self, number: u64) {
        let mut state = self.state.lock().await;
        if state.connection.as_ref().is_some_and(|connection| connection.number == number) {
            state.connection = None;
        }
    }

    /// Makes one call; `unanswered` is the error of a call that was sent and has no response.
    pub(crate) async fn call<T, F>(
        &self,
        unanswered: KvError,
        call: impl FnOnce(Channel) -> F,
    ) -> Result<T, KvError>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let connection = self.connection().await?;
        let response = tokio::time::timeout(self.settings.call_timeout, call(connection.channel));
        let status = match response.await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(status)) => status,
            Err(_) => Status::deadline_exceeded("call timeout"),
        };
        let refusal_error = refusal(&status);
        if !matches!(refusal_error, Some(KvError::RateLimited { .. })) {
            self.discard(connection.number).await;
        }
        log::debug!("key-value call failed: {status}");
        Err(refusal_error.unwrap_or(unanswered))
    }

    async fn range(&self, key: &str, range_end: Bytes) -> Result<pb::RangeResponse, KvError> {
        let key = Bytes::copy_from_slice(key.as_bytes());
        let req = self.request(pb::RangeRequest { key, range_end, ..Default::default() });
        self.call(KvError::Unavailable, async |channel| kv_client(channel).range(req).await).await
    }

    async fn change(
        &self,
        key: &str,
        expected: u64,
        request: pb::request_op::Request,
    ) -> Result<CasResult, KvError> {
        let name = Bytes::copy_from_slice(key.as_bytes());
        let compare = pb::Compare {
            result: pb::compare::CompareResult::Equal.into(),
            target: pb::compare::CompareTarget::Mod.into(),
            key: name.clone(),
            target_union: Some(pb::compare::TargetUnion::ModRevision(expected as i64)),
            ..Default::default()
        };
        let reread = pb::request_op::Request::RequestRange(pb::RangeRequest {
            key: name,
            ..Default::default()
        });
        let message = pb::TxnRequest {
            compare: vec![compare],
            success: vec![pb::RequestOp { request: Some(request) }],
            failure: vec![pb::RequestOp { request: Some(reread) }],
        };
        let req = self.request(message);
        let response = self
            .call(KvError::Indeterminate, async |channel| kv_client(channel).txn(req).await)
            .await?;
        read_swap(key, response)
    }
}

fn kv_client(channel: Channel) -> KvClient<Channel> {
    KvClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES)
}

/// Returns the error of a call that was certainly not carried out, or `None` if it may have been.
fn refusal(status: &Status) -> Option<KvError> {
    match status.code() {
        Code::ResourceExhausted => Some(KvError::RateLimited { retry_after: LIMITED_RETRY_AFTER }),
        Code::Unavailable if status.message() == NO_LEADER => Some(KvError::Unavailable),
        Code::Unavailable if never_connected(status) => Some(KvError::Unavailable),
        Code::InvalidArgument | Code::Unauthenticated | Code::PermissionDenied => {
            Some(KvError::Malformed { key: "".into(), problem: status.message().into() })
        }
        _ => None,
    }
}

fn never_connected(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn read_swap(key: &str, response: pb::TxnResponse) -> Result<CasResult, KvError> {
    if response.succeeded {
        let header = response.header.unwrap_or_default();
        return Ok(CasResult::Done { mod_revision: header.revision as u64 });
    }
    let reread = response.responses.into_iter().next().and_then(|op| op.response);
    let Some(pb::response_op::Response::ResponseRange(range)) = reread else {
        let problem = "the response to a failed comparison has no current value".into();
        return Err(KvError::Malformed { key: key.into(), problem });
    };
    let current = range.kvs.into_iter().next().map(versioned);
    Ok(CasResult::Conflict { current })
}

/// Returns the value and revision of a record.
pub(crate) fn versioned(record: proto::mvccpb::KeyValue) -> Versioned {
    Versioned { value: Arc::from(&record.value[..]), mod_revision: record.mod_revision as u64 }
}

/// Returns the key as text.
pub(crate) fn key_text(key: &[u8]) -> Result<Box<str>, KvError> {
    std::str::from_utf8(key).map(Box::from).map_err(|error| KvError::Malformed {
        key: String::from_utf8_lossy(key).into(),
        problem: error.to_string().into(),
    })
}

/// Returns the exclusive end of the range of keys that begin with `prefix`.
pub fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end.into();
        }
    }
    // Only an empty prefix gets here, as UTF-8 has no byte 0xff. A range end of one zero byte means
    // all keys from the start of the range.
    Bytes::from_static(b"\0")
}

impl Store for EtcdStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
        Box::pin(async move {
            let response = self.range(key, Bytes::new()).await?;
            Ok(response.kvs.into_iter().next().map(versioned))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult> {
        Box::pin(async move {
            let response = self.range(prefix, prefix_end(prefix)).await?;
            let revision = response.header.map_or(0, |header| header.revision.max(0) as u64);
            let rows = response.kvs.into_iter();
            let rows = rows.map(|record| Ok((key_text(&record.key)?, versioned(record))));
            Ok(ListResult { rows: rows.collect::<Result<_, KvError>>()?, revision })
        })
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult> {
        let put = pb::PutRequest {
            key: Bytes::copy_from_slice(key.as_bytes()),
            value: Bytes::from_owner(value),
            ..Default::default()
        };
        Box::pin(self.change(key, expected, pb::request_op::Request::RequestPut(put)))
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult> {
        let delete = pb::DeleteRangeRequest {
            key: Bytes::copy_from_slice(key.as_bytes()),
            ..Default::default()
        };
        let request = pb::request_op::Request::RequestDeleteRange(delete);
        Box::pin(self.change(key, expected, request))
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> StoreFuture<'a, mpsc::Receiver<Watched>> {
        Box::pin(etcd_watch::open(self, prefix, after))
    }
}
