//! The watch calls of the stand-in.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use kv::store::Store;
use kv::store::Watched;
use proto::etcdserverpb as pb;
use proto::etcdserverpb::watch_request::RequestUnion;
use proto::mvccpb;
use tokio::sync::mpsc;
use tokio_stream::Stream;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;

use super::faults::KvFaults;
use super::faults::Outage;
use super::service::Service;
use super::service::record;
use super::service::text;

/// Capacity of a watch's response queue; a full queue blocks the watch.
const RESPONSE_QUEUE_LEN: usize = 64;
/// Period of the check for an outage or an order to end all watches.
const FAULT_PERIOD: Duration = Duration::from_millis(20);

type ResponseStream =
    Pin<Box<dyn Stream<Item = Result<pb::WatchResponse, Status>> + Send + 'static>>;
type Tx = mpsc::Sender<Result<pb::WatchResponse, Status>>;

/// Counts a watch as open until it is dropped.
struct OpenWatch(KvFaults);

impl OpenWatch {
    fn new(faults: KvFaults) -> Self {
        faults.count(|counts| {
            counts.watches += 1;
            counts.watching += 1;
        });
        OpenWatch(faults)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.count(|counts| counts.watching -= 1);
    }
}

/// The watches of a service.
pub(super) struct Watches(pub(super) Arc<Service>);

#[tonic::async_trait]
impl pb::watch_server::Watch for Watches {
    type WatchStream = ResponseStream;

    async fn watch(
        &self,
        req: Request<Streaming<pb::WatchRequest>>,
    ) -> Result<Response<ResponseStream>, Status> {
        self.0.admit_watch().await?;
        let mut requests = req.into_inner();
        let first = requests.next().await.transpose()?.and_then(|req| req.request_union);
        let Some(RequestUnion::CreateRequest(create)) = first else {
            return Err(Status::invalid_argument("a watch begins with a create request"));
        };
        let key: Box<str> = text(&create.key)?.into();
        if create.range_end != kv::etcd::prefix_end(&key) {
            return Err(Status::unimplemented("a watch must be of one prefix"));
        }
        let after = match create.start_revision {
            0 => self.0.store.revision(),
            start => start as u64 - 1,
        };
        let events = self.0.store.watch(&key, after).await;
        let events = events.map_err(|error| Status::internal(error.to_string()))?;
        let (tx, rx) = mpsc::channel(RESPONSE_QUEUE_LEN);
        let service = self.0.clone();
        tokio::spawn(async move {
            let watching = OpenWatch::new(service.faults.clone());
            let cuts = service.faults.watch_cuts();
            tokio::select! {
                () = tx.closed() => {}
                () = until_cut(&service.faults, cuts) => {}
                () = until_cancelled(requests) => {}
                () = send_all(&service, events, &tx) => {}
            }
            drop(watching);
        });
        Ok(Response::new(Box::pin(ReceiverStream::new(rx))))
    }
}

impl Service {
    /// Counts a watch as one read, and fails or blocks it in an outage.
    async fn admit_watch(&self) -> Result<(), Status> {
        if !self.faults.take_read() {
            return Err(Status::resource_exhausted("etcdserver: too many requests"));
        }
        self.check_available().await
    }
}

async fn until_cut(faults: &KvFaults, cuts: u64) {
    while faults.watch_cuts() == cuts && matches!(faults.outage(), Outage::None | Outage::Silent) {
        tokio::time::sleep(FAULT_PERIOD).await;
    }
}

async fn until_cancelled(mut requests: Streaming<pb::WatchRequest>) {
    while let Some(Ok(req)) = requests.next().await {
        if matches!(req.request_union, Some(RequestUnion::CancelRequest(_))) {
            return;
        }
    }
}

async fn send_all(service: &Service, mut events: mpsc::Receiver<Watched>, tx: &Tx) {
    let header = Service::header(service.store.revision());
    let created = pb::WatchResponse { header, created: true, ..Default::default() };
    if tx.send(Ok(created)).await.is_err() {
        return;
    }
    while let Some(watched) = events.recv().await {
        let Some(event) = watched.change() else { continue };
        let kind = match event.value {
            Some(_) => mvccpb::event::EventType::Put,
            None => mvccpb::event::EventType::Delete,
        };
        let kv = Some(record(&event.key, event.value));
        let events = vec![mvccpb::Event { r#type: kind.into(), kv, prev_kv: None }];
        let header = Service::header(service.store.revision());
        let response = pb::WatchResponse { header, events, ..Default::default() };
        if tx.send(Ok(response)).await.is_err() {
            return;
        }
    }
}
