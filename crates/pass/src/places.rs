//! Who may get a request, and how loaded they are.
//!
//! A place is one backend server of a plain service, or the head of a replica group. Its load is
//! counted in requests and in prompt tokens that are still to be read: what this process sent is
//! known at once, what other processes sent is known from what they last told.
//!
//! A group that stands still is silent for all requests of all processes at once. A process that is
//! cut off itself finds all places silent, but others that have requests there don't.
//!
//! All processes see the same loads, late. If each took the best place, all would take the same one
//! until they hear of it. So the choice is between two random places among those that are nearly
//! as good as the best; the more processes there are, the more places count as that.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use form::prelude::*;

use xxhash_rust::xxh3::xxh3_64;

use crate::declared::ServiceSpec;

/// How long a place that said that it is full gets nothing more; doubles up to the longest, since
/// one that has ceased to serve says the same.
const FIRST_FULL_PAUSE: Duration = Duration::from_millis(60);
/// Longest time that a place which said that it is full gets nothing more.
const LONGEST_FULL_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a place is left alone after a failure to reach it; doubles up to the longest.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(250);
/// Longest time that a place is left alone.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(4);
/// How long all requests at a place may get nothing before it counts as silent.
const SILENCE: Duration = Duration::from_millis(450);
/// How long a place is called silent after its requests have left it.
const SILENCE_KEPT: Duration = Duration::from_secs(3);
/// How long a group that says that it stands still counts as quiet at least.
const BROKEN_QUIET: Duration = Duration::from_secs(1);
/// Requests that must all be silent.
const SILENT_REQUESTS: u32 = 2;
/// How much longer than alone a prompt takes among others that are read and written meanwhile.
const QUEUE_FACTOR: f64 = 1.8;
/// With many processes a place is nearly as good as the best up to this part of its time more,
const NEAR_PART: f64 = 0.3;
/// and this much.
const NEAR_TIME: Duration = Duration::from_millis(30);
/// Processes that count as many.
const MANY_PROCESSES: f64 = 40.0;
/// Weight of the newest call in the mean time of calls.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time of a call to a plain service before any was measured.
const FIRST_CALL_TIME: Duration = Duration::from_millis(30);
/// How long what another process told counts.
const OTHERS_KEPT: Duration = Duration::from_millis(1_500);

/// One backend server that takes requests.
#[data]
pub struct Place {
    /// The backend server.
    pub server: ServerId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceId,
    /// The group that it heads, and its epoch.
    pub group: Option<(GroupId, u64)>,
    /// The model of the group.
    pub model: Option<ModelId>,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
    /// When the server's life started.
    pub born_ms: u64,
}

/// Requests at a place.
#[data]
#[derive(Copy, Default, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// Requests that are there.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub unread_tokens: u64,
    /// Milliseconds since something came from there, if requests are there, or left it since it was
    /// silent.
    pub quiet_ms: Option<u64>,
}

impl Load {
    /// Returns this load and `other` together: of the times without anything, the shorter counts.
    pub fn plus(&self, other: &Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            unread_tokens: self.unread_tokens + other.unread_tokens,
            quiet_ms: self.quiet_ms.into_iter().chain(other.quiet_ms).min(),
        }
    }

    /// Returns whether it tells that all requests get nothing, or have left for that.
    fn is_silent(&self) -> bool {
        let enough = self.requests >= SILENT_REQUESTS || self.requests == 0;
        enough && self.quiet_ms.is_some_and(|quiet| u128::from(quiet) > SILENCE.as_millis())
    }
}

#[derive(Debug)]
struct State {
    place: Place,
    own: Load,
    /// What all other processes have there, and when that was told.
    others: (Load, Mono),
    full_until: Mono,
    /// How often it said that it is full since something else came from it.
    fulls: u32,
    avoid_until: Mono,
    failures: u32,
    /// Since when no request there has got anything.
    quiet_since: Mono,
    /// When its requests left it since it was silent; none once something has come.
    left_silent: Option<Mono>,
    /// Mean seconds of a call to a plain service.
    call_seconds: f64,
}

/// What a request needs of a place.
#[data]
pub struct Demand {
    /// The service.
    pub service: ServiceId,
    /// The model, for model services.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Servers that have been tried and are not to be tried again.
    pub tried: Vec<ServerId>,
}

/// A place with the time until the answer, or a stream's first event, is expected.
#[data]
pub struct Offer {
    /// The place.
    pub place: Place,
    /// Expected time to the answer or first event.
    pub time: Duration,
    /// Requests there, of all processes, against its slots.
    pub fill: f64,
}

/// All places, by service.
#[derive(Debug, Default)]
pub struct Places {
    states: HashMap<ServerId, State>,
    by_service: HashMap<ServiceId, Vec<ServerId>>,
    services: HashMap<ServiceId, Arc<ServiceSpec>>,
    /// The last random number.
    drawn: Cell<u64>,
    /// Processes that choose among the same places.
    processes: usize,
}

impl Places {
    /// Makes places whose random numbers begin with `seed`.
    pub fn seeded(seed: u64) -> Self {
        Places { drawn: Cell::new(seed), ..Places::default() }
    }

    /// Replaces the services.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = Arc<ServiceSpec>>) {
        self.services = services.into_iter().map(|spec| (spec.name.clone(), spec)).collect();
    }

    /// Replaces all places; loads of those that stay the same are kept.
    pub fn set(&mut self, places: Vec<Place>) {
        let mut old = std::mem::take(&mut self.states);
        self.by_service.clear();
        for place in places {
            let kept = old.remove(&place.server).filter(|state| is_same(&state.place, &place));
            let state = match kept {
                Some(state) => State { place, ..state },
                None => State::new(place),
            };
            let id = state.place.server.clone();
            self.by_service.entry(state.place.service.clone()).or_default().push(id.clone());
            self.states.insert(id, state);
        }
    }

    /// Returns whether any place serves `model` of `service`.
    pub fn any(&self, service: &str, model: Option<&str>) -> bool {
        self.of(service, model).next().is_some()
    }

    /// Returns whether `place` still takes requests as it did.
    pub fn still_stands(&self, place: &Place) -> bool {
        self.states.get(&place.server).is_some_and(|state| is_same(&state.place, place))
    }

    /// Returns the place with the earliest expected answer, if any has room.
    pub fn best(&self, demand: &Demand, now: Mono) -> Option<Offer> {
        let engine = self.services.get(&demand.service).and_then(|spec| spec.engine.as_ref());
        let open = self.of(&demand.service, demand.model.as_deref());
        let mut offers: Vec<Offer> = open
            .filter(|state| !demand.tried.contains(&state.place.server))
            .filter_map(|state| offer(state, engine, demand, now))
            .collect();
        let best = offers.iter().map(|offer| offer.time).min()?;
        let many = (self.processes as f64 / MANY_PROCESSES).min(1.0);
        let bound = best.mul_f64(1.0 + NEAR_PART * many) + NEAR_TIME.mul_f64(many);
        offers.retain(|offer| offer.time <= bound);
        let first = offers.swap_remove(self.draw(offers.len()));
        if offers.is_empty() {
            return Some(first);
        }
        let second = offers.swap_remove(self.draw(offers.len()));
        let is_better = (second.time, second.fill) < (first.time, first.fill);
        Some(if is_better { second } else { first })
    }

    /// Returns a random number below `below`, which is not zero.
    fn draw(&self, below: usize) -> usize {
        let drawn = xxh3_64(&self.drawn.get().to_be_bytes());
        self.drawn.set(drawn);
        usize::try_from(drawn % below as u64).unwrap_or(0)
    }

    fn of<'a>(
        &'a self,
        service: &str,
        model: Option<&'a str>,
    ) -> impl Iterator<Item = &'a State> + 'a {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let states = ids.iter().filter_map(|id| self.states.get(id));
        states.filter(move |state| state.place.model.as_deref() == model)
    }

    /// Counts a request that is sent to `place`.
    pub fn began(&mut self, place: &Place, prompt_tokens: u64, now: Mono) {
        if let Some(state) = self.state(place) {
            if state.own.requests == 0 {
                state.quiet_since = now;
            }
            state.own.requests += 1;
            state.own.unread_tokens += prompt_tokens;
        }
    }

    /// Notes that something has come from `place`.
    pub fn heard(&mut self, place: &Place, now: Mono) {
        if let Some(state) = self.state(place) {
            state.quiet_since = now;
            state.left_silent = None;
            state.fulls = 0;
        }
    }

    /// Returns whether all requests at `place` have got nothing for too long.
    ///
    /// One stream alone may pause; that all do at once says that the group stands still, long
    /// before any report does.
    pub fn is_silent(&self, place: &Place, now: Mono) -> bool {
        let state = self.states.get(&place.server).filter(|state| is_same(&state.place, place));
        state.is_some_and(|state| state.is_silent(now))
    }

    /// Counts a prompt at `place` as read.
    pub fn read(&mut self, place: &Place, prompt_tokens: u64) {
        if let Some(state) = self.state(place) {
            state.own.unread_tokens = state.own.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Counts a request at `place` as ended.
    pub fn ended(&mut self, place: &Place) {
        if let Some(state) = self.state(place) {
            state.own.requests = state.own.requests.saturating_sub(1);
        }
    }

    /// Notes a whole answer of `place` and how long it took.
    pub fn succeeded(&mut self, place: &Place, took: Duration) {
        if let Some(state) = self.state(place) {
            state.failures = 0;
            state.fulls = 0;
            state.call_seconds += NEWEST_WEIGHT * (took.as_secs_f64() - state.call_seconds);
        }
    }

    /// Notes that `place` had no room.
    pub fn full(&mut self, place: &Place, now: Mono) {
        if let Some(state) = self.state(place) {
            let pause = FIRST_FULL_PAUSE * 2_u32.saturating_pow(state.fulls.min(8));
            state.fulls += 1;
            state.full_until = now + pause.min(LONGEST_FULL_PAUSE);
        }
    }

    /// Notes that the group at `place` says that it stands still; it counts as silent.
    pub fn broken(&mut self, place: &Place, now: Mono) {
        if let Some(state) = self.state(place) {
            state.quiet_since = state.quiet_since.min(now.saturating_sub(BROKEN_QUIET));
            state.left_silent = Some(now);
        }
    }

    /// Notes that `place` failed a request; it is left alone for a while.
    pub fn failed(&mut self, place: &Place, now: Mono) {
        if let Some(state) = self.state(place) {
            let pause = FIRST_AVOIDANCE * 2_u32.saturating_pow(state.failures.min(8));
            state.failures += 1;
            if state.is_silent(now) {
                state.left_silent = Some(now);
            }
            state.avoid_until = now + pause.min(LONGEST_AVOIDANCE);
        }
    }

    /// Returns this process's load at each place that has any.
    pub fn own_loads(&self, now: Mono) -> Vec<(ServerId, Load)> {
        let loads = self.states.iter().map(|(id, state)| (id.clone(), state.own_load(now)));
        loads.filter(|(_, load)| *load != Load::default()).collect()
    }

    /// Returns the servers that this process or another finds silent.
    pub fn silent(&self, now: Mono) -> BTreeSet<ServerId> {
        let silent = self.states.iter().filter(|(_, state)| state.is_silent(now));
        silent.map(|(id, _)| id.clone()).collect()
    }

    /// Notes the loads of all other processes; places that are not named have none.
    ///
    /// `processes` is how many choose among these places, this one included.
    pub fn set_others(&mut self, loads: &[(ServerId, Load)], processes: usize, now: Mono) {
        self.processes = processes;
        for state in self.states.values_mut() {
            state.others = (Load::default(), now);
        }
        for (server, load) in loads {
            if let Some(state) = self.states.get_mut(server) {
                state.others = (*load, now);
            }
        }
    }

    fn state(&mut self, place: &Place) -> Option<&mut State> {
        self.states.get_mut(&place.server).filter(|state| is_same(&state.place, place))
    }
}

impl State {
    fn new(place: Place) -> Self {
        State {
            place,
            own: Load::default(),
            others: (Load::default(), Mono::ZERO),
            full_until: Mono::ZERO,
            fulls: 0,
            avoid_until: Mono::ZERO,
            failures: 0,
            quiet_since: Mono::ZERO,
            left_silent: None,
            call_seconds: FIRST_CALL_TIME.as_secs_f64(),
        }
    }

    /// Returns whether nothing comes from it any more, for this process or for all.
    fn is_silent(&self, now: Mono) -> bool {
        let own = self.own_load(now);
        self.place.group.is_some() && (own.is_silent() || self.total(now).is_silent())
    }

    /// Returns what this process has there.
    fn own_load(&self, now: Mono) -> Load {
        let left = self.left_silent.is_some_and(|at| now < at + SILENCE_KEPT);
        let counts = self.own.requests > 0 || left;
        let quiet = now.saturating_sub(self.quiet_since).as_millis();
        let quiet_ms = counts.then(|| u64::try_from(quiet).unwrap_or(u64::MAX));
        Load { quiet_ms, ..self.own }
    }

    /// Returns what all processes have there.
    fn total(&self, now: Mono) -> Load {
        let (others, at) = self.others;
        let own = self.own_load(now);
        if now <= at + OTHERS_KEPT { own.plus(&others) } else { own }
    }
}

/// Returns whether both are the same life of a server in the same role.
fn is_same(a: &Place, b: &Place) -> bool {
    a.born_ms == b.born_ms && a.group == b.group && a.address == b.address && a.service == b.service
}

fn offer(state: &State, engine: Option<&EngineSpec>, demand: &Demand, now: Mono) -> Option<Offer> {
    if now < state.full_until || now < state.avoid_until || state.is_silent(now) {
        return None;
    }
    let load = state.total(now);
    let slots = state.place.slots.max(1) as f64;
    let fill = f64::from(load.requests) / slots;
    let time = match engine {
        Some(engine) => first_event_seconds(engine, state, load, demand.prompt_tokens),
        None => call_seconds(state, load),
    };
    let has_room = engine.is_none() || fill < 1.0;
    let time = Duration::from_secs_f64(time);
    has_room.then(|| Offer { place: state.place.clone(), time, fill })
}

/// Returns the expected time to the first event: all unread prompts, then a pass of all writers.
fn first_event_seconds(engine: &EngineSpec, state: &State, load: Load, prompt_tokens: u64) -> f64 {
    let model = state.place.model.as_deref().and_then(|model| engine.model(model));
    let pace = model.map_or(1.0, |model| model.pace);
    let unread = (load.unread_tokens + prompt_tokens) as f64;
    let step = engine.step.as_secs_f64()
        + f64::from(load.requests) * engine.step_per_request.as_secs_f64();
    let pass = step * f64::from(engine.steps_per_pass);
    pace * (unread / engine.read_per_second.max(1.0) + pass) * QUEUE_FACTOR
}

/// Returns the expected time of a call to a plain service: its own and what queues before it.
fn call_seconds(state: &State, load: Load) -> f64 {
    let queued = f64::from(load.requests + 1) - state.place.slots.max(1) as f64;
    state.call_seconds * (1.0 + queued.max(0.0) / state.place.slots.max(1) as f64)
}
