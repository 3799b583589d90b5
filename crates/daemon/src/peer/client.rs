//! Calls to other processes, by name.
//!
//! Connections are cached for the most recently called peers, up to a fixed number. Keepalives are
//! sent while a call is open. A connection on which a call got no answer is never used again: the
//! next call opens a new one.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use bytes::Bytes;
use config::prelude::*;
use kernel::prelude::*;
use parking_lot::Mutex;
use proto::peer::ForwardRequest;
use proto::peer::PullRequest;
use proto::peer::Topic;
use proto::peer::peer_client;
use spec::delta::Update;
use tonic::Code;
use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use super::MAX_MESSAGE_BYTES;
use super::NODE_KEY;
use super::PeerError;
use super::SECRET_KEY;
use crate::member::MembershipView;
use crate::names;

/// Maximum number of cached connections.
const MAX_CONNECTIONS: usize = 32;
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between two keepalives while a call is open.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which an unanswered keepalive closes the connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_millis(500);

type Rpc = peer_client::PeerClient<Channel>;

struct Connection {
    peer: NodeId,
    address: SocketAddr,
    rpc: Rpc,
}

/// Calls other processes. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    cx: Context,
    secret: Option<Secret>,
    /// The connections, the most recently used last.
    connections: Arc<Mutex<Vec<Connection>>>,
}

impl PeerClient {
    /// Returns a client without connections. It finds the peers' addresses in the membership view.
    pub fn new(cx: &Context, settings: &Settings) -> Self {
        let secret = settings.peers.secrets.first().cloned();
        PeerClient { cx: cx.clone(), secret, connections: Arc::default() }
    }

    /// Requests the changes of the catalog after the revision `from`.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the call got no answer, or one that is not a valid update.
    pub async fn pull(&self, peer: &NodeId, from: Revision) -> Result<Update, PeerError> {
        let mut rpc = self.connect(peer)?;
        let answer = rpc.pull(self.request(peer, PullRequest { from })?).await;
        let reply = self.check(peer, answer)?;
        Update::decode(&reply.update)
            .map_err(|error| PeerError::Refused { peer: peer.clone(), problem: text(error) })
    }

    /// Sends a call of `topic` to `peer` and returns the answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the call got no answer; only [`PeerError::Indeterminate`] means that the
    /// peer may have run it.
    pub async fn forward(
        &self,
        peer: &NodeId,
        topic: Topic,
        body: Bytes,
    ) -> Result<Bytes, PeerError> {
        let mut rpc = self.connect(peer)?;
        let request = self.request(peer, ForwardRequest { topic: topic as i32, body })?;
        let answer = rpc.forward(request).await;
        self.check(peer, answer).map(|reply| reply.body)
    }

    fn request<T>(&self, peer: &NodeId, body: T) -> Result<Request<T>, PeerError> {
        let mut request = Request::new(body);
        request.set_timeout(CALL_TIMEOUT);
        let not_sent =
            |problem: &str| PeerError::NotSent { peer: peer.clone(), problem: text(problem) };
        let secret = self.secret.as_ref().ok_or_else(|| not_sent("$.peers.secrets is empty"))?;
        let mut secret = MetadataValue::try_from(secret.expose())
            .map_err(|_| not_sent("the secret has characters that metadata excludes"))?;
        secret.set_sensitive(true);
        let node = MetadataValue::try_from(&**self.cx.node())
            .map_err(|_| not_sent("the process's name has characters that metadata excludes"))?;
        request.metadata_mut().insert(SECRET_KEY, secret);
        request.metadata_mut().insert(NODE_KEY, node);
        Ok(request)
    }

    /// Returns a connection to `peer`: the cached one if the peer still has the same address,
    /// otherwise a new one.
    fn connect(&self, peer: &NodeId) -> Result<Rpc, PeerError> {
        let view = self.cx.subscribe::<MembershipView>(names::MEMBER).ok();
        let address = view.and_then(|view| view.borrow().address_of(peer));
        let address = address.ok_or_else(|| PeerError::Unknown(peer.clone()))?;
        let mut connections = self.connections.lock();
        let cached = connections.iter().position(|connection| connection.peer == *peer);
        let cached = cached.map(|index| connections.remove(index));
        let connection = match cached.filter(|connection| connection.address == address) {
            Some(connection) => connection,
            None => Connection { peer: peer.clone(), address, rpc: rpc(address, peer)? },
        };
        let rpc = connection.rpc.clone();
        connections.push(connection);
        if connections.len() > MAX_CONNECTIONS {
            connections.remove(0);
        }
        Ok(rpc)
    }

    /// Returns the answer, or the error by its gRPC status. Closes the connection if the peer did
    /// not answer.
    fn check<T>(
        &self,
        peer: &NodeId,
        answer: Result<tonic::Response<T>, Status>,
    ) -> Result<T, PeerError> {
        let status = match answer {
            Ok(answer) => return Ok(answer.into_inner()),
            Err(status) => status,
        };
        let (peer, problem) = (peer.clone(), text(status.message()));
        match status.code() {
            Code::Unauthenticated
            | Code::InvalidArgument
            | Code::Unimplemented
            | Code::ResourceExhausted => Err(PeerError::Refused { peer, problem }),
            _ => {
                self.connections.lock().retain(|connection| connection.peer != peer);
                if is_connect_error(&status) {
                    Err(PeerError::NotSent { peer, problem })
                } else {
                    Err(PeerError::Indeterminate { peer, problem })
                }
            }
        }
    }
}

fn rpc(address: SocketAddr, peer: &NodeId) -> Result<Rpc, PeerError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| PeerError::NotSent { peer: peer.clone(), problem: text(error) })?;
    let channel = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .http2_keep_alive_interval(KEEPALIVE_PERIOD)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .tcp_nodelay(true)
        .connect_lazy();
    Ok(Rpc::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}

/// Returns whether no connection was established, so that the call cannot have been sent.
fn is_connect_error(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<std::io::Error>() {
            return error.kind() == std::io::ErrorKind::ConnectionRefused;
        }
        cause = error.source();
    }
    false
}

fn text(problem: impl ToString) -> Box<str> {
    problem.to_string().into()
}
