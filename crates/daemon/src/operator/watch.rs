//! Streams each revision that becomes active, as lines of JSON.

use std::sync::Arc;

use base::prelude::*;
use http::StatusCode;
use spec::api::WatchLine;
use spec::prelude::Catalog;
use tokio::sync::watch;
use web::body;
use web::body::BodySender;
use web::prelude::*;

use super::State;

/// Time between two empty lines on an idle stream, which show the client that the stream is alive.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(5);

/// Answers `GET /api/v1/watch?from=REV`; without `from`, the watch begins at the active revision.
pub(super) fn stream(state: &State, req: &Request) -> Response {
    let current = state.catalog.borrow().revision;
    let from = req.query_value("from").and_then(|from| from.parse().ok()).unwrap_or(current);
    let (tx, body) = body::stream(());
    let catalog = state.catalog.clone();
    let stop = state.cx.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = send_revisions(catalog, from, &tx) => {}
            () = tx.closed() => {}
            // A watch never ends by itself, so it is closed when the process is asked to stop; the
            // client continues at another process.
            () = stop.process_stopping() => {}
        }
        tx.finish();
    });
    reply::with_type(StatusCode::OK, "application/json", body)
}

async fn send_revisions(
    mut catalog: watch::Receiver<Arc<Catalog>>,
    mut from: Revision,
    tx: &BodySender,
) {
    loop {
        let current = catalog.borrow_and_update().clone();
        if let Some(line) = WatchLine::since(&current, from) {
            from = line.revision;
            let mut text = serde_json::to_string(&line).expect("a line has a JSON form");
            text.push('\n');
            if !tx.send(text).await {
                return;
            }
        }
        match tokio::time::timeout(KEEPALIVE_PERIOD, catalog.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return,
            Err(_) => {
                if !tx.send("\n").await {
                    return;
                }
            }
        }
    }
}
