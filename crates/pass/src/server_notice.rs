//! What a backend server says of itself in the headers of a response.
//!
//! - A limit: the requests a second that it takes from all processes together.
//! - That it is leaving: it will end soon, and gets no new requests.
//! - How long its warm-up still takes.
//! - A pause, in a response that turned a request away: the time for which it wants no requests from
//!   this process.
//!
//! Each is a decimal number of 0 or more. Any other value says nothing, and becomes a finding; so
//! does a pause that is given as a date.

use base::prelude::*;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;
use http::header::RETRY_AFTER;

use crate::header_names::HeaderNames;
use crate::server_limit::RequestRate;
use crate::warm_up::MAX_DURATION;

/// Longest pause that is kept. After it, a request finds out whether the server still wants none.
pub const MAX_PAUSE: Duration = Duration::from_secs(300);

/// What the headers of one response say of its server.
#[data]
#[derive(Default)]
pub struct ServerNotice {
    /// The limit of its request rate.
    pub limit: Option<RequestRate>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How long its warm-up still takes, if it says so; at most [`MAX_DURATION`].
    pub warm_up: Option<Duration>,
    /// How long it wants no requests, from when the response arrived; at most [`MAX_PAUSE`].
    pub pause: Option<Duration>,
}

impl ServerNotice {
    /// Reads the headers of a response; invalid values are added to `findings`.
    pub fn read(
        status: StatusCode,
        headers: &HeaderMap,
        header_names: &HeaderNames,
        findings: &mut Findings,
    ) -> Self {
        let leaving = number(headers, &header_names.leaving, findings);
        if leaving.is_some_and(|leaving| leaving != 0.0 && leaving != 1.0) {
            findings.add(header_names.leaving.as_str(), "is neither 0 nor 1");
        }
        let longest = MAX_DURATION.as_millis() as f64;
        let warm_up = number(headers, &header_names.warm_up_ms, findings);
        if warm_up.is_some_and(|warm_up| warm_up > longest) {
            findings.add(header_names.warm_up_ms.as_str(), format!("is above {longest}"));
        }
        let turns_away = status == StatusCode::SERVICE_UNAVAILABLE;
        let pause = turns_away.then(|| number(headers, &RETRY_AFTER, findings)).flatten();
        ServerNotice {
            limit: number(headers, &header_names.server_limit, findings),
            is_leaving: leaving == Some(1.0),
            warm_up: warm_up
                .filter(|warm_up| *warm_up <= longest)
                .map(|warm_up| Duration::from_secs_f64(warm_up / 1_000.0)),
            pause: pause
                .filter(|seconds| *seconds > 0.0)
                .map(|seconds| Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()))),
        }
    }
}

/// Returns the value of a header that is a finite decimal number of 0 or more.
fn number(headers: &HeaderMap, name: &HeaderName, findings: &mut Findings) -> Option<f64> {
    let value = headers.get(name)?;
    let number = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    let number = number.filter(|number| number.is_finite() && *number >= 0.0);
    if number.is_none() {
        findings.add(name.as_str(), format!("{value:?} is no number of 0 or more"));
    }
    number
}
