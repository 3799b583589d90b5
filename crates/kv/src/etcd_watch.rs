//! Watches over the etcd v3 protocol.
//!
//! A watch starts right after the revision up to which its caller has read. If the service has
//! compacted that revision, the watch starts at the oldest revision that is kept, and writes in
//! between are recovered by listing the current values. Deletions in between would be missed, but
//! none occur: a caller opens its watch within moments of its read, far less than the time for which
//! the service keeps revisions.

use bytes::Bytes;
use proto::etcdserverpb as pb;
use proto::etcdserverpb::watch_client::WatchClient;
use proto::mvccpb;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::etcd::EtcdStore;
use crate::etcd::MAX_MESSAGE_BYTES;
use crate::etcd::key_text;
use crate::etcd::prefix_end;
use crate::etcd::versioned;
use crate::store::KvError;
use crate::store::Store;
use crate::store::WatchEvent;
use crate::store::Watched;

/// Capacity of a watch's channel; when it is full, the service is made to wait.
const WATCH_DEPTH_CHANGES: usize = 1024;

struct Opened {
    // Dropping the sender ends the request stream, and with it the call.
    requests: mpsc::Sender<pb::WatchRequest>,
    responses: Streaming<pb::WatchResponse>,
    first: pb::WatchResponse,
}

/// Opens a watch of `prefix` for changes after the revision `after`.
pub(crate) async fn open(
    store: &EtcdStore,
    prefix: &str,
    after: u64,
) -> Result<mpsc::Receiver<Watched>, KvError> {
    let mut opened = create(store, prefix, after as i64 + 1).await?;
    let mut missed = Vec::new();
    if opened.first.canceled {
        let compacted = opened.first.compact_revision;
        if compacted == 0 {
            return Err(KvError::Unavailable);
        }
        opened = create(store, prefix, compacted).await?;
        missed = store.list(prefix).await?.rows;
        missed.retain(|(_, row)| row.mod_revision > after && row.mod_revision < compacted as u64);
    }
    let (tx, rx) = mpsc::channel(WATCH_DEPTH_CHANGES);
    tokio::spawn(async move {
        for (key, value) in missed {
            let event = WatchEvent { key, value: Some(value) };
            if tx.send(Watched::Change(event)).await.is_err() {
                return;
            }
        }
        // If either side ends, the channel closes, and the caller reads again.
        tokio::select! {
            () = tx.closed() => {}
            () = forward(opened, &tx) => {}
        }
    });
    Ok(rx)
}

async fn create(store: &EtcdStore, prefix: &str, start: i64) -> Result<Opened, KvError> {
    let create = pb::WatchCreateRequest {
        key: Bytes::copy_from_slice(prefix.as_bytes()),
        range_end: prefix_end(prefix),
        start_revision: start,
        ..Default::default()
    };
    let request_union = Some(pb::watch_request::RequestUnion::CreateRequest(create));
    let (requests, rx) = mpsc::channel(1);
    let _ = requests.try_send(pb::WatchRequest { request_union });
    let req = store.request(ReceiverStream::new(rx));
    let (responses, first) = store
        .call(KvError::Unavailable, async |channel| {
            let client = WatchClient::new(channel);
            let mut client = client.max_decoding_message_size(MAX_MESSAGE_BYTES);
            let mut responses = client.watch(req).await?.into_inner();
            let first = responses.message().await?.unwrap_or_default();
            Ok(tonic::Response::new((responses, first)))
        })
        .await?;
    Ok(Opened { requests, responses, first })
}

async fn forward(mut opened: Opened, tx: &mpsc::Sender<Watched>) {
    let mut next = Some(opened.first);
    while let Some(response) = next {
        if response.canceled {
            break;
        }
        for event in response.events {
            let Some(event) = read_event(event) else { return };
            if tx.send(Watched::Change(event)).await.is_err() {
                return;
            }
        }
        next = opened.responses.next().await.and_then(Result::ok);
    }
    drop(opened.requests);
}

fn read_event(event: mvccpb::Event) -> Option<WatchEvent> {
    let is_put = event.r#type() == mvccpb::event::EventType::Put;
    let record = event.kv?;
    let key = key_text(&record.key).ok()?;
    let value = is_put.then(|| versioned(record));
    Some(WatchEvent { key, value })
}
