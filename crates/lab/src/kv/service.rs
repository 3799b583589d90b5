//! The key-value and lease calls of the stand-in; `watch` has the watches.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use kv::etcd::prefix_end;
use kv::memory::MemoryStore;
use kv::store::CasResult;
use kv::store::Store;
use kv::store::Versioned;
use parking_lot::Mutex;
use proto::etcdserverpb as pb;
use proto::etcdserverpb::compare::TargetUnion;
use proto::etcdserverpb::request_op;
use proto::etcdserverpb::response_op;
use proto::mvccpb;
use tokio_stream::Stream;
use tokio_stream::StreamExt;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::Streaming;

use super::faults::KvFaults;
use super::faults::Outage;
use super::leases;
use super::leases::Leases;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// The shared state of the calls.
pub(super) struct Service {
    pub(super) store: MemoryStore,
    pub(super) faults: KvFaults,
    pub(super) leases: Arc<Mutex<Leases>>,
}

impl Service {
    /// Returns the service over `store`.
    pub(super) fn new(store: MemoryStore, faults: KvFaults) -> Self {
        Service { store, faults, leases: Arc::default() }
    }

    /// Returns the header of a response at `revision`.
    pub(super) fn header(revision: u64) -> Option<pb::ResponseHeader> {
        Some(pb::ResponseHeader { revision: revision as i64, ..Default::default() })
    }

    /// Fails or blocks a call in an outage, and delays it by the configured delay.
    pub(super) async fn check_available(&self) -> Result<(), Status> {
        match self.faults.outage() {
            Outage::None => {}
            Outage::NoLeader => return Err(Status::unavailable("etcdserver: no leader")),
            Outage::Reset => return Err(Status::unavailable("connection reset")),
            Outage::Silent => std::future::pending().await,
        }
        tokio::time::sleep(self.faults.delay()).await;
        Ok(())
    }

    async fn admit_read(&self) -> Result<(), Status> {
        if !self.faults.take_read() {
            return Err(too_many());
        }
        self.check_available().await
    }

    async fn admit_write(&self) -> Result<(), Status> {
        if !self.faults.take_write() {
            return Err(too_many());
        }
        self.check_available().await
    }

    async fn rows(&self, req: &pb::RangeRequest) -> Result<Vec<mvccpb::KeyValue>, Status> {
        let key = text(&req.key)?;
        let rows = if req.range_end.is_empty() {
            let row = self.store.get(key).await.map_err(internal)?;
            row.map(|row| (Box::from(key), row)).into_iter().collect()
        } else if req.range_end == prefix_end(key) {
            self.store.list(key).await.map_err(internal)?.rows
        } else {
            return Err(Status::unimplemented("a range must be one key or one prefix"));
        };
        Ok(rows.into_iter().map(|(key, row)| record(&key, Some(row))).collect())
    }

    /// Executes the operation of a transaction if the key's modification revision is `expected`.
    async fn change(&self, expected: u64, op: request_op::Request) -> Result<CasResult, Status> {
        match op {
            request_op::Request::RequestPut(put) => {
                if put.value.len() > MAX_VALUE_BYTES {
                    return Err(Status::invalid_argument("etcdserver: request is too large"));
                }
                let key = text(&put.key)?;
                if put.lease != 0 && !self.leases.lock().attach(put.lease, key) {
                    return Err(Status::not_found("etcdserver: requested lease not found"));
                }
                self.store
                    .compare_and_swap(key, expected, Arc::from(&put.value[..]))
                    .await
                    .map_err(internal)
            }
            request_op::Request::RequestDeleteRange(delete) => {
                self.store.delete(text(&delete.key)?, expected).await.map_err(internal)
            }
            _ => Err(Status::unimplemented("a transaction must put or delete one key")),
        }
    }

    /// Counts a write that took effect; never returns if its response is to be lost.
    async fn record_write(&self, value_bytes: usize) {
        if self.faults.written(value_bytes) {
            std::future::pending().await
        }
    }
}

fn too_many() -> Status {
    Status::resource_exhausted("etcdserver: too many requests")
}

fn internal(error: kv::store::KvError) -> Status {
    Status::internal(error.to_string())
}

/// Returns a key as a string; keys must be UTF-8.
pub(super) fn text(key: &Bytes) -> Result<&str, Status> {
    std::str::from_utf8(key).map_err(|error| Status::invalid_argument(error.to_string()))
}

/// Returns the protocol's form of a record, or of a deleted one if `row` is `None`.
pub(super) fn record(key: &str, row: Option<Versioned>) -> mvccpb::KeyValue {
    let (value, mod_revision) = match row {
        Some(row) => (Bytes::from_owner(row.value), row.mod_revision as i64),
        None => (Bytes::new(), 0),
    };
    mvccpb::KeyValue {
        key: Bytes::copy_from_slice(key.as_bytes()),
        value,
        mod_revision,
        version: 1,
        ..Default::default()
    }
}

fn value_bytes(op: &request_op::Request) -> usize {
    match op {
        request_op::Request::RequestPut(put) => put.value.len(),
        _ => 0,
    }
}

#[tonic::async_trait]
impl pb::kv_server::Kv for Service {
    async fn range(
        &self,
        req: Request<pb::RangeRequest>,
    ) -> Result<Response<pb::RangeResponse>, Status> {
        self.admit_read().await?;
        let header = Self::header(self.store.revision());
        let kvs = self.rows(req.get_ref()).await?;
        let count = kvs.len() as i64;
        Ok(Response::new(pb::RangeResponse { header, kvs, more: false, count }))
    }

    async fn put(&self, req: Request<pb::PutRequest>) -> Result<Response<pb::PutResponse>, Status> {
        self.admit_write().await?;
        let put = req.into_inner();
        let bytes = put.value.len();
        loop {
            let current = self.store.get(text(&put.key)?).await.map_err(internal)?;
            let expected = current.map_or(0, |current| current.mod_revision);
            let op = request_op::Request::RequestPut(put.clone());
            if let CasResult::Done { mod_revision } = self.change(expected, op).await? {
                self.record_write(bytes).await;
                let header = Self::header(mod_revision);
                return Ok(Response::new(pb::PutResponse { header, prev_kv: None }));
            }
        }
    }

    async fn delete_range(
        &self,
        req: Request<pb::DeleteRangeRequest>,
    ) -> Result<Response<pb::DeleteRangeResponse>, Status> {
        self.admit_write().await?;
        let req = req.into_inner();
        let range =
            pb::RangeRequest { key: req.key, range_end: req.range_end, ..Default::default() };
        let rows = self.rows(&range).await?;
        let keys = rows.iter().map(|row| text(&row.key).map(Box::from));
        let keys = keys.collect::<Result<Vec<Box<str>>, Status>>()?;
        leases::delete_all(self, &keys).await;
        self.record_write(0).await;
        let header = Self::header(self.store.revision());
        let deleted = keys.len() as i64;
        Ok(Response::new(pb::DeleteRangeResponse { header, deleted, prev_kvs: Vec::new() }))
    }

    async fn txn(&self, req: Request<pb::TxnRequest>) -> Result<Response<pb::TxnResponse>, Status> {
        self.admit_write().await?;
        let req = req.into_inner();
        let ([compare], [success]) = (&req.compare[..], &req.success[..]) else {
            return Err(Status::unimplemented("a transaction must compare and change one key"));
        };
        let Some(TargetUnion::ModRevision(expected)) = compare.target_union else {
            return Err(Status::unimplemented("only modification revisions are compared"));
        };
        let op = success.request.clone();
        let op = op.ok_or_else(|| Status::invalid_argument("an operation is empty"))?;
        let bytes = value_bytes(&op);
        let (mod_revision, current) = match self.change(expected as u64, op).await? {
            CasResult::Done { mod_revision } => {
                self.record_write(bytes).await;
                let header = Self::header(mod_revision);
                let response = pb::TxnResponse { header, succeeded: true, responses: Vec::new() };
                return Ok(Response::new(response));
            }
            CasResult::Conflict { current } => (self.store.revision(), current),
        };
        let row = current.map(|row| record(text(&compare.key).unwrap_or(""), Some(row)));
        let kvs: Vec<mvccpb::KeyValue> = row.into_iter().collect();
        let count = kvs.len() as i64;
        let range = pb::RangeResponse { kvs, count, ..Default::default() };
        let response = Some(response_op::Response::ResponseRange(range));
        let responses = vec![pb::ResponseOp { response }];
        let header = Self::header(mod_revision);
        Ok(Response::new(pb::TxnResponse { header, succeeded: false, responses }))
    }
}

type KeepAlives =
    Pin<Box<dyn Stream<Item = Result<pb::LeaseKeepAliveResponse, Status>> + Send + 'static>>;

/// Returns a time to live in seconds, as the protocol has it.
fn seconds(ttl: Duration) -> i64 {
    ttl.as_secs() as i64
}

#[tonic::async_trait]
impl pb::lease_server::Lease for Service {
    type LeaseKeepAliveStream = KeepAlives;

    async fn lease_grant(
        &self,
        req: Request<pb::LeaseGrantRequest>,
    ) -> Result<Response<pb::LeaseGrantResponse>, Status> {
        self.faults.count(|counts| counts.leases += 1);
        self.admit_write().await?;
        let ttl = Duration::from_secs(req.get_ref().ttl.max(1) as u64);
        let id = self.leases.lock().grant(req.get_ref().id, ttl, Instant::now());
        let header = Self::header(self.store.revision());
        let response =
            pb::LeaseGrantResponse { header, id, ttl: seconds(ttl), error: String::new() };
        Ok(Response::new(response))
    }

    async fn lease_revoke(
        &self,
        req: Request<pb::LeaseRevokeRequest>,
    ) -> Result<Response<pb::LeaseRevokeResponse>, Status> {
        self.faults.count(|counts| counts.leases += 1);
        self.admit_write().await?;
        let keys = self.leases.lock().revoke(req.get_ref().id);
        let keys = keys.ok_or_else(|| Status::not_found("requested lease not found"))?;
        leases::delete_all(self, &keys).await;
        let header = Self::header(self.store.revision());
        Ok(Response::new(pb::LeaseRevokeResponse { header }))
    }

    async fn lease_keep_alive(
        &self,
        req: Request<Streaming<pb::LeaseKeepAliveRequest>>,
    ) -> Result<Response<KeepAlives>, Status> {
        self.check_available().await?;
        let (tx, rx) = tokio::sync::mpsc::channel(1);
        let faults = self.faults.clone();
        let leases = self.leases.clone();
        let header = Self::header(self.store.revision());
        let mut requests = req.into_inner();
        tokio::spawn(async move {
            while let Some(Ok(req)) = requests.next().await {
                faults.count(|counts| counts.leases += 1);
                let renewed = leases.lock().renew(req.id, Instant::now());
                let ttl = renewed.map_or(0, seconds);
                let response = pb::LeaseKeepAliveResponse { header, id: req.id, ttl };
                if tx.send(Ok(response)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(Box::pin(tokio_stream::wrappers::ReceiverStream::new(rx))))
    }
}
