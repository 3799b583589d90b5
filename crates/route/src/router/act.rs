//! The entry point of all events, and what follows from those that are not a request's ask.

use base::prelude::*;
use group::record::GroupState;
use group::view::GroupTable;
use group::view::GroupView;

use crate::need::Fingerprint;
use crate::need::Need;
use crate::poison::Crash;
use crate::poison::PoisonFact;
use crate::poison::Verdict;
use crate::share::PUBLISH_PERIOD;

use super::Down;
use super::Failure;
use super::LOCAL_DOWN;
use super::REFUSAL_PAUSE;
use super::RouteAction;
use super::RouteEvent;
use super::Router;
use super::Row;
use super::Stage;
use super::VETTING_WINDOW;

impl Router {
    /// Takes an event at `now` and returns what has to be done, in order.
    ///
    /// `draw` is a random number, new for each event.
    pub fn decide(&mut self, event: RouteEvent, now: Mono, draw: u64) -> Vec<RouteAction> {
        let mut out = Vec::new();
        match event {
            RouteEvent::Ask(need) => self.ask(need, now, draw, &mut out),
            RouteEvent::FirstToken(request) => self.first_token(request, now),
            RouteEvent::Tokens(request, count) => self.tokens(request, count, now),
            RouteEvent::Measured { request, first_token, tokens, streaming } => {
                self.measured(request, first_token, tokens, streaming, now);
            }
            RouteEvent::Finished(request) => self.finished(request, now, &mut out),
            RouteEvent::Failed(request, failure) => self.failed(request, failure, now, &mut out),
            RouteEvent::GaveUp(request) => self.gave_up(request, now, &mut out),
            RouteEvent::Granted(request, grant) => {
                self.granted(request, grant, now, draw, &mut out);
            }
            RouteEvent::TrialAsked { ask_id, ask } => {
                let grant = self.coordinate(&ask, now, &mut out);
                out.push(RouteAction::Grant { ask_id, grant });
            }
            RouteEvent::Released(fact) => {
                self.merge_poison(&fact, now, &mut out);
                self.trials.release(fact.fingerprint);
            }
            RouteEvent::View(table) => self.view(table, now, &mut out),
            RouteEvent::Limits(limits) => {
                self.limits.set(&limits, now);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::Live { live, known } => {
                let own = self.node.clone();
                self.trials.end_of_dead(|holder| *holder == own || live.contains(holder));
                self.loads.set_peers(live.len());
                self.shares.set_live(live, known);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::Usage(fact) => {
                self.shares.merge(&fact);
                self.limits.refresh(&self.shares, self.settings.token_capacity, now);
            }
            RouteEvent::Poison(fact) => self.merge_poison(&fact, now, &mut out),
            RouteEvent::Lift(fingerprint) => self.lift(fingerprint, now, &mut out),
            RouteEvent::Tick => self.tick(now, &mut out),
        }
        self.drain_queue(now, draw, &mut out);
        out
    }

    fn first_token(&mut self, request: RequestId, now: Mono) {
        let Some(Row { stage: Stage::Sent(flight), .. }) = self.rows.get_mut(&request) else {
            return;
        };
        let took = now.saturating_sub(flight.sent_at);
        flight.last_token_at = Some(now);
        flight.tokens += 1;
        self.loads.first_token(&flight.group, took);
    }

    fn tokens(&mut self, request: RequestId, count: u32, now: Mono) {
        let Some(Row { stage: Stage::Sent(flight), .. }) = self.rows.get_mut(&request) else {
            return;
        };
        flight.tokens += count;
        if let Some(last) = flight.last_token_at.replace(now)
            && count > 0
        {
            self.loads.token_gap(&flight.group, now.saturating_sub(last) / count, now);
        }
    }

    fn measured(
        &mut self,
        request: RequestId,
        first_token: Duration,
        tokens: u32,
        streaming: Duration,
        now: Mono,
    ) {
        let Some(Row { stage: Stage::Sent(flight), .. }) = self.rows.get_mut(&request) else {
            return;
        };
        flight.tokens += tokens;
        self.loads.first_token(&flight.group, first_token);
        if tokens > 1 {
            self.loads.token_gap(&flight.group, streaming / (tokens - 1), now);
        }
    }

    fn finished(&mut self, request: RequestId, now: Mono, out: &mut Vec<RouteAction>) {
        let Some(row) = self.rows.remove(&request) else { return };
        let at = self.stamp(now);
        if let Some(fact) = self.quarantine.answered(row.need.fingerprint, at) {
            self.spread(vec![fact], now, out);
        }
        let generated = self.end_flight(&row, now, out);
        self.limits.ended(&row.need.workspace, row.need.tokens, generated, now);
    }

    fn failed(
        &mut self,
        request: RequestId,
        failure: Failure,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let Some(mut row) = self.rows.remove(&request) else { return };
        if let Stage::Sent(flight) = &row.stage {
            let (group, generation) = (flight.group.clone(), flight.generation);
            if matches!(failure, Failure::Crashed | Failure::NotSent) {
                self.note_down(&group, generation, now);
            }
            if failure == Failure::Refused {
                self.paused_until.insert(group.clone(), now + REFUSAL_PAUSE);
            }
            if failure == Failure::Crashed {
                self.note_crash(group, generation, &[row.need.fingerprint], now, out);
            }
        }
        self.end_flight(&row, now, out);
        row.stage = Stage::Between;
        self.rows.insert(request, row);
    }

    fn gave_up(&mut self, request: RequestId, now: Mono, out: &mut Vec<RouteAction>) {
        let Some(row) = self.rows.remove(&request) else { return };
        self.queue.remove(request);
        let generated = self.end_flight(&row, now, out);
        self.limits.ended(&row.need.workspace, row.need.tokens, generated, now);
    }

    /// Ends the row's attempt, if one is in progress, and returns the tokens that it brought.
    fn end_flight(&mut self, row: &Row, now: Mono, out: &mut Vec<RouteAction>) -> u32 {
        let Stage::Sent(flight) = &row.stage else {
            if row.vetted {
                out.push(self.release(&row.need));
            }
            return 0;
        };
        self.loads.ended(&flight.group, now);
        if flight.vetted {
            out.push(self.release(&row.need));
        }
        flight.tokens
    }

    /// Takes a group out at once, until its keeper's word or a higher generation comes.
    fn note_down(&mut self, group: &GroupId, generation: Generation, now: Mono) {
        let view = self.table.groups.iter().find(|view| view.id == *group).cloned();
        let known = self.downs.get(group).and_then(|down| down.view.clone());
        self.downs.insert(group.clone(), Down { generation, at: now, view: view.or(known) });
    }

    fn note_crash(
        &mut self,
        group: GroupId,
        generation: Generation,
        running: &[Fingerprint],
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        let crash = Crash { at: self.stamp(now), group, generation };
        let changed = self.quarantine.crashed(&crash, running);
        self.spread(changed, now, out);
    }

    /// Takes over a new table; requests at a group that broke become suspects.
    fn view(&mut self, table: GroupTable, now: Mono, out: &mut Vec<RouteAction>) {
        let old = std::mem::replace(&mut self.table, table);
        for was in old.groups.iter().filter(|view| view.state == GroupState::Serving) {
            if !self.serves(&was.id, was.generation) {
                let down = Down { generation: was.generation, at: now, view: Some(was.clone()) };
                self.downs.insert(was.id.clone(), down);
            }
            if self.broke(&was.id, was.generation) {
                let running = self.running_at(was);
                self.note_crash(was.id.clone(), was.generation, &running, now, out);
            }
        }
        let table = &self.table;
        self.loads.retain(|group| table.groups.iter().any(|view| &*view.id == group));
        let mut trials = std::mem::take(&mut self.trials);
        for (fingerprint, lane) in trials.end_at(|lane| self.broke(&lane.group, lane.generation)) {
            self.note_crash(lane.group, lane.generation, &[fingerprint], now, out);
        }
        self.trials = trials;
    }

    fn serves(&self, group: &str, generation: Generation) -> bool {
        let is_it = |view: &&GroupView| &*view.id == group && view.generation == generation;
        let view = self.table.groups.iter().find(is_it);
        view.is_some_and(|view| view.state == GroupState::Serving)
    }

    /// Returns whether the group lost a member at `generation`, as far as the table tells.
    fn broke(&self, group: &str, generation: Generation) -> bool {
        let view = self.table.groups.iter().find(|view| &*view.id == group);
        view.is_some_and(|view| view.state == GroupState::Broken || view.generation > generation)
    }

    fn running_at(&self, view: &GroupView) -> Vec<Fingerprint> {
        let rows = self.rows.values().filter(|row| match &row.stage {
            Stage::Sent(flight) => flight.group == view.id && flight.generation == view.generation,
            _ => false,
        });
        rows.map(|row| row.need.fingerprint).collect()
    }

    pub(super) fn merge_poison(
        &mut self,
        fact: &PoisonFact,
        now: Mono,
        out: &mut Vec<RouteAction>,
    ) {
        fact.crashes.iter().for_each(|crash| self.clock.observe(crash.at));
        self.clock.observe(fact.cleared);
        let changed = self.quarantine.merge(fact, self.wall_millis(now));
        self.spread(changed, now, out);
    }

    fn lift(&mut self, fingerprint: Fingerprint, now: Mono, out: &mut Vec<RouteAction>) {
        let at = self.stamp(now);
        if let Some(fact) = self.quarantine.lift(fingerprint, at) {
            self.spread(vec![fact], now, out);
        }
    }

    /// Spreads and records changed facts; a trial whose verdict is no longer open has ended.
    fn spread(&mut self, changed: Vec<PoisonFact>, now: Mono, out: &mut Vec<RouteAction>) {
        let millis = self.wall_millis(now);
        for fact in changed {
            let verdict = fact.verdict(millis);
            if verdict != Verdict::Suspect {
                self.trials.release(fact.fingerprint);
            }
            let state = match verdict {
                Verdict::Clear => "cleared",
                Verdict::Suspect => "suspect",
                Verdict::Convicted => "quarantined",
            };
            out.push(RouteAction::Record(Event::Quarantine {
                fingerprint: fact.fingerprint,
                state: state.into(),
            }));
            out.push(RouteAction::SpreadPoison(fact));
        }
    }

    fn tick(&mut self, now: Mono, out: &mut Vec<RouteAction>) {
        self.quarantine.expire(self.wall_millis(now));
        self.trials.expire(now);
        self.downs.retain(|_, down| now.saturating_sub(down.at) < VETTING_WINDOW);
        self.paused_until.retain(|_, until| now < *until);
        if self.shares.is_due(now, PUBLISH_PERIOD) {
            out.push(RouteAction::SpreadUsage(self.shares.publish(now)));
            self.limits.refresh(&self.shares, self.settings.token_capacity, now);
        }
        self.expire_queue(now, out);
        self.refuse_groupless(now, out);
        self.vet_again(now, out);
    }

    /// Returns whether a failure seen here keeps the group out.
    pub(super) fn is_down_here(&self, view: &GroupView, now: Mono) -> bool {
        self.downs.get(&view.id).is_some_and(|down| {
            down.generation >= view.generation && now.saturating_sub(down.at) < LOCAL_DOWN
        })
    }

    /// Tells the coordinator that a trial ended, with what came of it.
    pub(super) fn release(&self, need: &Need) -> RouteAction {
        RouteAction::Release {
            model: need.model.clone(),
            version: need.version.clone(),
            fact: self.quarantine.fact(need.fingerprint),
        }
    }
}
