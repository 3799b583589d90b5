//! An attempt to go on with a stream at another backend server.

use base::prelude::*;
use pass::events::Event;
use pass::prelude::*;
use pass::resumption::NextEvent;
use web::prelude::*;

use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::carrier::Carrier;
use super::silence::Stage;
use super::stream::End;
use super::stream::Source;
use crate::decision_log;
use crate::decision_log::Record;

/// What must hold of a response that goes on with a stream.
#[data]
pub(super) struct Expected {
    /// What it has in common with the first response.
    pub(super) head: StreamHead,
    /// How far the stream has been forwarded.
    pub(super) position: StreamPosition,
}

/// A stream that goes on at another backend server.
pub(super) struct Resumption {
    /// What carries it.
    pub(super) carrier: Carrier,
    /// The number of its attempt.
    pub(super) number: u32,
    /// The next event.
    pub(super) next: Event,
    /// Where the events after it come from.
    pub(super) source: Source,
}

/// Asks for the rest of a stream after the event `after`, and waits until its first event has come.
pub(super) async fn resume(
    mut attempt: Attempt,
    after: Box<str>,
    expected: Expected,
) -> Result<Resumption, FailedAttempt> {
    decision_log::write(&Record::Resuming {
        request: &attempt.active.id,
        attempt: attempt.number,
        server: attempt.carrier.name(),
        after_event: &after,
    });
    let response = attempt.send(Some(&after)).await?;
    check_head(&attempt, &expected.head, &response)?;
    let status = response.status().as_u16();
    attempt.carrier.record_prefill();
    let delimiter = Delimiter::of(response.extensions());
    let mut source = Source::new(response.into_body(), delimiter);
    let first = next_event(&mut source, &expected.position);
    match attempt.watched(Stage::Body, first).await {
        Ok(next) => {
            let Attempt { carrier, number, .. } = attempt;
            Ok(Resumption { carrier, number, next, source })
        }
        Err(end) => {
            let problem = attempt.end_without_event(end).await;
            Err(attempt.fail(AttemptOutcome::Unknown, status, &problem))
        }
    }
}

fn check_head(
    attempt: &Attempt,
    head: &StreamHead,
    response: &Response,
) -> Result<(), FailedAttempt> {
    let active = &attempt.active;
    let (status, id) = (response.status(), active.metadata.attempt_id.as_deref());
    let header_names = &active.state.integration.header_names;
    let checked = head.check(status, response.headers(), id, header_names);
    checked.map_err(|mismatch| {
        attempt.fail(AttemptOutcome::Unknown, status.as_u16(), &mismatch.to_string())
    })
}

/// Returns the next event of a source that goes on with a stream after `position`. Dropping the future
/// loses nothing.
pub(super) async fn next_event(
    source: &mut Source,
    position: &StreamPosition,
) -> Result<Event, End> {
    loop {
        let event = source.next().await?;
        match position.check(&event) {
            Ok(NextEvent::Forward) => return Ok(event),
            Ok(NextEvent::LeaveOut) => {}
            Err(mismatch) => return Err(End::Broken(mismatch.to_string().into())),
        }
    }
}
