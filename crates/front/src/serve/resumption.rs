//! An attempt to go on with a stream at another backend server.

use pass::events::Event;
use pass::prelude::*;

use super::attempt::Attempt;
use super::attempt::FailedAttempt;
use super::carrier::Carrier;
use super::silence::Stage;
use super::stream::End;
use super::stream::Source;
use crate::decision_log;
use crate::decision_log::Record;

/// A stream that goes on at another backend server.
pub(super) struct Resumption {
    /// What carries it.
    pub(super) carrier: Carrier,
    /// The number of its attempt.
    pub(super) number: u32,
    /// The next event; `None` if the stream was complete without it.
    pub(super) next: Option<Event>,
    /// Where the events after it come from.
    pub(super) source: Source,
}

/// Asks for the events after `last_id`, and waits until the first of them has come.
pub(super) async fn resume(
    mut attempt: Attempt,
    last_id: Box<str>,
) -> Result<Resumption, FailedAttempt> {
    decision_log::write(&Record::Resuming {
        request: &attempt.active.id,
        attempt: attempt.number,
        server: attempt.carrier.name(),
        after_event: &last_id,
    });
    let response = attempt.send(Some(&last_id)).await?;
    let status = response.status();
    if !status.is_success() {
        return Err(attempt.fail(AttemptOutcome::Failed, status.as_u16(), "no resumed stream"));
    }
    attempt.carrier.record_prefill();
    let mut source = Source::new(response.into_body());
    let next = match attempt.watched(Stage::Body, source.next()).await {
        Ok(event) => Some(event),
        Err(End::Complete) => None,
        Err(End::Broken(problem)) => {
            attempt.carrier.check_end(&attempt.active).await;
            return Err(attempt.fail(AttemptOutcome::Unknown, status.as_u16(), &problem));
        }
    };
    let Attempt { carrier, number, .. } = attempt;
    Ok(Resumption { carrier, number, next, source })
}
