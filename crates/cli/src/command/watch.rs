//! `watch`: changes as they become active.

use base::prelude::*;
use spec::api::ListView;
use spec::api::WatchLine;
use spec::prelude::Kind;
use web::body;

use crate::args::Output;
use crate::failure::Failure;
use crate::servers::Servers;

/// Prints changes until the tool is stopped. When a server ends the stream, continues at the first
/// server that responds.
pub(super) async fn watch(
    servers: &Servers,
    kind: Option<Kind>,
    from: Option<Revision>,
    output: Output,
) -> Result<(), Failure> {
    let mut from = match from {
        Some(from) => from,
        None => servers.read::<ListView>("/api/v1/model").await?.revision,
    };
    loop {
        let response = servers.open(&format!("/api/v1/watch?from={from}")).await?;
        let mut body = response.into_body();
        let mut buf: Vec<u8> = Vec::new();
        while let Some(Ok(chunk)) = body::next_chunk(&mut body).await {
            buf.extend_from_slice(&chunk);
            while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                let Ok(line) = serde_json::from_slice::<WatchLine>(&line) else { continue };
                // A server that is behind may resend changes that were already shown.
                if line.revision > from {
                    from = line.revision;
                    print(&line, kind, output);
                }
            }
        }
    }
}

fn print(line: &WatchLine, kind: Option<Kind>, output: Output) {
    if output == Output::Json {
        println!("{}", serde_json::to_string(line).expect("a line can be serialized as JSON"));
        return;
    }
    for change in line.changes.iter().filter(|change| kind.is_none_or(|kind| kind == change.kind)) {
        let what = if change.spec.is_some() { "changed" } else { "deleted" };
        println!("revision {}: {}/{} {what}", change.revision, change.kind, change.name);
    }
}
