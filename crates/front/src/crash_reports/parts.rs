//! Parts of prompts that crash the backend servers that begin to answer them.
//!
//! [`route::prompt_parts`] decides which prompts are refused. Here the changes of parts get numbers among those of
//! whole requests, so that the same calls carry both.

use std::collections::BTreeSet;
use std::sync::Arc;

use base::prelude::*;
use route::prompt_parts::PartCrash;
use route::prompt_parts::PartHistory;
use route::prompt_parts::PartKey;
use route::prompt_parts::PartRefusal;
use route::prompt_parts::Source;
use route::quarantine::Crash;

use super::Audience;
use super::Changed;
use super::CrashReports;
use crate::change_log::ChangeNumber;
use crate::decision_log;
use crate::decision_log::Record;

/// The tracked parts of the prompt of a request. Clones share them.
#[data]
#[derive(Default)]
pub struct TrackedParts {
    /// Their keys, in the order of the prompt.
    pub keys: Arc<[PartKey]>,
    /// The workspace of the request.
    pub source: Source,
}

impl CrashReports {
    /// Returns why a request is refused because of parts of its prompt and for how long, if it is, at
    /// the wall-clock time `millis`, in milliseconds since 1970.
    pub fn part_refusal(&self, parts: &TrackedParts, millis: u64) -> Option<PartRefusal> {
        self.parts.refusal(&parts.keys, parts.source, millis)
    }

    /// Records that the server `server`, which started at `started_at_ms`, ended before the answer to
    /// a request with `parts` began.
    pub fn record_part_crash(
        &mut self,
        parts: &TrackedParts,
        server: &str,
        started_at_ms: u64,
        millis: u64,
    ) {
        let at = self.clock.tick(millis);
        let crash = Crash { at, group: server.into(), generation: started_at_ms };
        let crash = PartCrash { crash, source: parts.source };
        let changed = self.parts.record_crash(&crash, &parts.keys);
        self.number_parts(&changed, millis);
    }

    /// Records that the answer to a request with `parts` has begun; returns whether anything changed.
    pub fn record_part_answer(&mut self, parts: &TrackedParts, millis: u64) -> bool {
        if !parts.keys.iter().any(|part| self.parts.contains(*part)) {
            return false;
        }
        let at = self.clock.tick(millis);
        let changed = self.parts.record_answer(&parts.keys, at);
        self.number_parts(&changed, millis);
        !changed.is_empty()
    }

    /// Joins histories of parts from another process; returns whether anything changed.
    pub fn merge_parts(&mut self, histories: &[PartHistory], millis: u64) -> bool {
        let mut any = false;
        for history in histories {
            let changed = self.merge_part_history(history);
            any |= !changed.is_empty();
            self.number_parts(&changed, millis);
        }
        any
    }

    /// Joins a history of parts; returns those that it changed.
    pub(super) fn merge_part_history(&mut self, history: &PartHistory) -> Vec<PartHistory> {
        let stamps = history.crashes.iter().map(|crash| crash.crash.at);
        stamps.chain([history.cleared]).for_each(|stamp| self.clock.observe(stamp));
        self.parts.merge(history)
    }

    /// Returns the histories of parts that changed after the change `after`, up to `last`. Only hubs get
    /// those of a single crash.
    pub fn part_changes(
        &self,
        after: ChangeNumber,
        last: ChangeNumber,
        audience: Audience,
    ) -> Vec<PartHistory> {
        let changes = self.changes.since(after).take_while(|(number, _)| *number <= last);
        let parts = changes.filter_map(|(_, changed)| match changed {
            Changed::Request(_) => None,
            Changed::Part(part) => Some(part),
        });
        let is_wanted = |part: &PartKey| audience == Audience::Hub || self.parts.crashes(*part) > 1;
        self.parts.histories(parts.filter(is_wanted).collect::<BTreeSet<PartKey>>())
    }

    fn number_parts(&mut self, changed: &[PartHistory], millis: u64) {
        for history in changed {
            history.parts().for_each(|part| self.changes.record(Changed::Part(part)));
            log_change(history);
        }
        self.expire_if_due(millis);
    }
}

/// Logs a change of parts with which more than one server crashed.
fn log_change(history: &PartHistory) {
    if history.crashes.len() < 2 {
        return;
    }
    let servers: Vec<&str> = history.uncleared().map(|crash| &*crash.crash.group).collect();
    let state = if servers.is_empty() { "cleared" } else { "suspect" };
    let others = history.others.len();
    decision_log::write(&Record::SuspectPart {
        part: history.part,
        others,
        state,
        servers: &servers,
    });
}
