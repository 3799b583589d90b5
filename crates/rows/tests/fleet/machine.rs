//! What a simulated VM has of processor time and of its link.

use base::prelude::*;

/// Processor time that a message costs besides its bytes, on a whole core.
const TIME_PER_MESSAGE: Duration = Duration::from_micros(100);
/// Processor time per byte that is encoded or decoded, on a whole core, in nanoseconds.
const NANOS_PER_BYTE: u64 = 8;
/// Period of the slices of processor time.
const SLICE_PERIOD: Duration = Duration::from_millis(100);
/// One way between two VMs.
const LATENCY: Duration = Duration::from_micros(1_400);

/// A VM.
#[data]
pub(crate) struct Machine {
    /// The share of each period in which its process runs, and when that begins in the period.
    pub(crate) share: f64,
    pub(crate) phase: Duration,
    pub(crate) link_bytes_per_second: f64,
    /// Its process doesn't run before.
    pub(crate) frozen_until: Mono,
    processor_free_at: Mono,
    sends_at: Mono,
    receives_at: Mono,
}

impl Machine {
    pub(crate) fn new(share: f64, phase: f64, link_bytes_per_second: f64) -> Self {
        Machine {
            share,
            phase: SLICE_PERIOD.mul_f64(phase),
            link_bytes_per_second,
            frozen_until: Mono::ZERO,
            processor_free_at: Mono::ZERO,
            sends_at: Mono::ZERO,
            receives_at: Mono::ZERO,
        }
    }

    /// Runs the work that a message of so many bytes is, from `now` on; returns when it is done.
    pub(crate) fn work(&mut self, bytes: usize, now: Mono) -> Mono {
        let cost = TIME_PER_MESSAGE + Duration::from_nanos(NANOS_PER_BYTE * bytes as u64);
        let mut at = now.max(self.processor_free_at).max(self.frozen_until);
        let mut left = cost;
        loop {
            let slice = SLICE_PERIOD.mul_f64(self.share);
            let shifted = at + SLICE_PERIOD - self.phase;
            let into = Duration::from_nanos((shifted.as_nanos() % SLICE_PERIOD.as_nanos()) as u64);
            if into >= slice {
                at += SLICE_PERIOD - into;
                continue;
            }
            let runs = left.min(slice - into);
            at += runs;
            left -= runs;
            if left.is_zero() {
                break;
            }
            at += SLICE_PERIOD - slice;
        }
        self.processor_free_at = at;
        at
    }

    /// Sends bytes to another VM; returns when the last one has arrived.
    pub(crate) fn send(&mut self, to: &mut Machine, bytes: usize, now: Mono) -> Mono {
        self.sends_at = self.sends_at.max(now) + transfer(bytes, self.link_bytes_per_second);
        to.receive(bytes, self.sends_at)
    }

    /// Receives bytes that have been sent completely at `sent`; returns when the last one has arrived.
    pub(crate) fn receive(&mut self, bytes: usize, sent: Mono) -> Mono {
        let took = transfer(bytes, self.link_bytes_per_second);
        let begins = sent.saturating_sub(took).max(self.receives_at);
        self.receives_at = (begins + took).max(sent);
        self.receives_at + LATENCY
    }
}

fn transfer(bytes: usize, bytes_per_second: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_second)
}
