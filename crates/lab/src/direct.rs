//! A client that calls an engine without the daemon, as a baseline for measurements.

use std::net::SocketAddr;

use base::prelude::*;
use engine::prelude::*;
use http::Method;
use tokio::time::Instant;
use web::body;
use web::client::Call;
use web::prelude::*;
use web::sse;

use crate::caller::Answer;
use crate::caller::TextCall;
use crate::sample;

/// The group that a direct call addresses.
#[data]
pub struct EngineTarget {
    /// Address of its member of rank 0.
    pub leader: SocketAddr,
    /// The group.
    pub group: GroupId,
    /// The group's generation.
    pub generation: Generation,
}

/// Sends `call` straight to an engine and reads the answer to its end.
pub async fn call(client: &Client, target: &EngineTarget, call: &TextCall) -> Answer {
    let generate = Generate {
        attempt: random_id(),
        group: target.group.clone(),
        generation: target.generation,
        model: sample::MODEL.into(),
        version: sample::VERSION.into(),
        adapter: None,
        prompt: format!("user: {}\n", call.prompt).into(),
        max_tokens: call.max_tokens,
        seed: call.seed,
        priority: call.priority,
        options: Default::default(),
        skip: 0,
    };
    let body = serde_json::to_vec(&generate).expect("the message is serializable").into();
    let request = Call { body, ..Call::new(Method::POST, "/v1/generate") };
    let sent = Instant::now();
    let mut answer = Answer::default();
    let Ok(response) = client.send(target.leader, request, call.timeout).await else {
        return answer;
    };
    answer.status = response.status().as_u16();
    read(response, sent, &mut answer).await;
    answer
}

async fn read(mut response: Response, sent: Instant, answer: &mut Answer) {
    let mut reader = sse::Reader::default();
    let mut last = sent;
    while let Some(Ok(chunk)) = body::next_chunk(response.body_mut()).await {
        reader.push(&chunk);
        while let Some(line) = reader.next_line() {
            let sse::Line::Data(data) = line else { continue };
            match serde_json::from_str(&data) {
                Ok(Item::Piece(piece)) => {
                    let now = Instant::now();
                    answer.text.push_str(&piece.text);
                    answer.last_piece = Some(piece.seq);
                    match answer.first_piece {
                        None => answer.first_piece = Some(now - sent),
                        Some(_) => answer.gaps.push(now - last),
                    }
                    last = now;
                }
                Ok(Item::End(_)) => answer.ended = true,
                Err(error) => answer.error = Some(error.to_string().into()),
            }
        }
    }
}
