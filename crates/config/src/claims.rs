//! Reads the settings of the claims of request keys.

use once::settings::Layout;
use once::settings::OnceSettings;

use crate::fields::Fields;

/// Maximum of these settings, in milliseconds.
const MAX_MILLIS: u64 = 24 * 60 * 60 * 1_000;

/// Reads the fields of the object `claims`.
pub(crate) fn read(f: &mut Fields<'_>) -> OnceSettings {
    let default = OnceSettings::default();
    let mut millis = |name, default| f.integer(name, default, 0..=MAX_MILLIS);
    OnceSettings {
        open_ms: millis("open_ms", default.open_ms),
        clock_skew_ms: millis("clock_skew_ms", default.clock_skew_ms),
        flush_period_ms: millis("flush_period_ms", default.flush_period_ms),
        report_delay_ms: millis("report_delay_ms", default.report_delay_ms),
        claim_timeout_ms: millis("claim_timeout_ms", default.claim_timeout_ms),
        layout: f.nested("layout", layout),
    }
}

fn layout(f: &mut Fields<'_>) -> Layout {
    let default = Layout::default();
    let shards = f.integer("shards", u64::from(default.shards), 1..=1_024);
    Layout {
        shards: u32::try_from(shards).unwrap_or(default.shards),
        slot_ms: f.integer("slot_ms", default.slot_ms, 1..=MAX_MILLIS),
        ring_slots: f.integer("ring_slots", default.ring_slots, 3..=100_000),
    }
}
