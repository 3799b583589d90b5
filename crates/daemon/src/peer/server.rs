//! The server of peer calls.
//!
//! Every call must carry a shared secret. It is compared in constant time with every accepted
//! secret; more than one can be accepted, so that secrets can be rotated. Refused calls are counted
//! and logged.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use parking_lot::RwLock;
use proto::peer::ForwardReply;
use proto::peer::ForwardRequest;
use proto::peer::PullReply;
use proto::peer::PullRequest;
use proto::peer::Topic;
use proto::peer::peer_server::Peer;
use proto::peer::peer_server::PeerServer;
use spec::delta::update_since;
use spec::prelude::Catalog;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataMap;
use tonic::transport::Server;

use super::MAX_MESSAGE_BYTES;
use super::NODE_KEY;
use super::PeerCall;
use super::SECRET_KEY;
use super::client::PeerClient;
use super::topic_name;
use crate::announce::Addresses;
use crate::metrics::Metrics;
use crate::names;

/// Time between two keepalives of a connection.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(10);
/// Time after which an unanswered keepalive closes the connection.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum wait for calls in progress when the process stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// The services that answer forwarded calls, by topic. Clones share the table.
#[derive(Clone, Default)]
pub struct Topics {
    services: Arc<RwLock<BTreeMap<i32, ServiceName>>>,
}

impl Topics {
    /// Directs calls of `topic` to the mailbox for [`PeerCall`] of `service`.
    pub fn register(&self, topic: Topic, service: ServiceName) {
        self.services.write().insert(topic as i32, service);
    }

    fn find(&self, topic: Topic) -> Option<ServiceName> {
        self.services.read().get(&(topic as i32)).copied()
    }
}

/// Returns the service, which registers [`PeerClient`] and [`Topics`].
pub fn service() -> Service {
    Service::new(names::PEER, &[], |cx| async move {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let topics = Topics::default();
        cx.registry().register(names::PEER, topics.clone());
        cx.registry().register(names::PEER, PeerClient::new(&cx, &settings));
        if settings.peers.secrets.is_empty() {
            log::info!("$.peers.secrets is empty: this process has no peers");
            cx.ready();
            cx.stopping().await;
            return Ok(());
        }
        run(cx, settings, topics).await
    })
}

async fn run(cx: Context, settings: Arc<Settings>, topics: Topics) -> Result<(), ServiceError> {
    let at = settings.listen.peer;
    let fault = |error: std::io::Error| ServiceError::new(at.to_string(), error);
    let listener = TcpListener::bind(at).await.map_err(fault)?;
    let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
    addresses.add(names::PEER, listener.local_addr().map_err(fault)?);
    let handler = Handler {
        metrics: cx.registry().lookup(names::PROCESS)?,
        secrets: settings.peers.secrets.clone(),
        topics,
        cx: cx.clone(),
    };
    let peer = PeerServer::new(handler)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    cx.ready();
    let server = Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_PERIOD))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .tcp_nodelay(true)
        .add_service(peer)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), cx.stopping());
    let stopped = async {
        cx.stopping().await;
        tokio::time::sleep(STOP_TIMEOUT).await;
    };
    tokio::select! {
        served = server => served.map_err(|error| ServiceError::new(at.to_string(), error)),
        () = stopped => Ok(()),
    }
}

struct Handler {
    cx: Context,
    metrics: Metrics,
    secrets: Vec<Secret>,
    topics: Topics,
}

impl Handler {
    /// Returns the caller's name if the call carries an accepted secret.
    fn authorize(&self, metadata: &MetadataMap) -> Result<NodeId, Status> {
        let given = metadata.get(SECRET_KEY).map_or(&[][..], |value| value.as_bytes());
        let is_known = self.secrets.iter().fold(false, |found, secret| {
            found | bool::from(secret.expose().as_bytes().ct_eq(given))
        });
        if !is_known {
            self.metrics.refusals.with_label_values(&[names::PEER, "unauthorized"]).inc();
            log::warn!("a peer call was refused: its secret is missing or unknown");
            return Err(Status::unauthenticated("the secret is missing or unknown"));
        }
        let name = metadata.get(NODE_KEY).and_then(|value| value.to_str().ok());
        name.map(NodeId::from).ok_or_else(|| Status::invalid_argument("the caller has no name"))
    }
}

#[tonic::async_trait]
impl Peer for Handler {
    async fn pull(&self, req: Request<PullRequest>) -> Result<Response<PullReply>, Status> {
        self.authorize(req.metadata())?;
        let catalog = self.cx.subscribe::<Catalog>(names::CATALOG);
        let catalog = catalog.map_err(|_| Status::unavailable("the process is starting"))?;
        let catalog = catalog.borrow().clone();
        if catalog.revision == 0 {
            return Err(Status::unavailable("no configuration is in force yet"));
        }
        let update = update_since(&catalog, req.get_ref().from).encode();
        Ok(Response::new(PullReply { update: update.into() }))
    }

    async fn forward(
        &self,
        req: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let from = self.authorize(req.metadata())?;
        let req = req.into_inner();
        let topic = req.topic();
        let service = self.topics.find(topic).ok_or_else(|| {
            Status::unimplemented(format!("topic `{}` has no service", topic_name(topic)))
        })?;
        let mailbox = self.cx.sender::<PeerCall>(service);
        let mailbox = mailbox.map_err(|_| Status::unavailable("the process is starting"))?;
        let (reply, answer) = oneshot::channel();
        let call = PeerCall { from, body: req.body, reply };
        mailbox.try_send(call).map_err(|_| Status::resource_exhausted("the mailbox is full"))?;
        let answer = answer.await.map_err(|_| Status::unknown("the call was given up"))?;
        Ok(Response::new(ForwardReply { body: answer }))
    }
}
