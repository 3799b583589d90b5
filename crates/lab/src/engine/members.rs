//! Orders, fencing, loading, and the watch over the group's other members.
//!
//! A group runs on all its members: rank 0 polls the others, and when one is gone or restarted it
//! loses what it runs and is no longer ready until it is assigned anew.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use engine::prelude::*;
use http::Method;
use web::prelude::*;

use crate::engine::Shared;

/// How often rank 0 polls the other members.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// How long a member may take to answer.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// An engine's place in a group.
#[data]
#[derive(Default)]
pub struct MemberState {
    /// The group.
    pub group: Option<GroupId>,
    /// The highest fencing number seen.
    pub generation: Generation,
    /// The rank.
    pub rank: u32,
    /// Where the members listen, by rank.
    pub members: Vec<SocketAddr>,
    /// The model that is loaded.
    pub model: Option<ModelId>,
    /// The version that is loaded.
    pub version: Option<VersionId>,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterId>,
    /// Loads in progress.
    pub loading: u32,
    /// Whether another member was found gone.
    pub member_lost: bool,
}

impl MemberState {
    /// Returns whether the engine can work.
    pub fn is_ready(&self) -> bool {
        self.group.is_some() && self.version.is_some() && self.loading == 0 && !self.member_lost
    }
}

/// Carries out an order.
pub fn execute(shared: &Arc<Shared>, order: Order) -> OrderAnswer {
    {
        let mut place = shared.member_state.lock();
        if shared.options.checks_fencing && order.generation < place.generation {
            return OrderAnswer::Fenced { highest: place.generation };
        }
        place.generation = order.generation;
    }
    match order.kind {
        OrderKind::Assign { rank, members } => assign(shared, order.group, rank, members),
        OrderKind::Load { model, version, weight_bytes, .. } => {
            load(shared, model, version, weight_bytes)
        }
        OrderKind::LoadAdapter { adapter, weight_bytes, .. } => {
            load_adapter(shared, adapter, weight_bytes)
        }
        OrderKind::Release => release(shared),
        OrderKind::ExportKv { attempt } => shared.attempts.export(attempt),
        OrderKind::ImportKv { attempt, from } => import(shared, attempt, from),
    }
}

fn assign(
    shared: &Arc<Shared>,
    group: GroupId,
    rank: u32,
    members: Vec<SocketAddr>,
) -> OrderAnswer {
    let mut place = shared.member_state.lock();
    place.group = Some(group);
    place.rank = rank;
    place.members = members;
    place.member_lost = false;
    let generation = place.generation;
    drop(place);
    if rank == 0 {
        tokio::spawn(watch_members(shared.clone(), generation));
    }
    OrderAnswer::Done
}

fn load(
    shared: &Arc<Shared>,
    model: ModelId,
    version: VersionId,
    weight_bytes: u64,
) -> OrderAnswer {
    {
        let mut place = shared.member_state.lock();
        if place.model.as_ref() == Some(&model) && place.version.as_ref() == Some(&version) {
            return OrderAnswer::Done;
        }
        place.loading += 1;
        place.version = None;
        place.adapters.clear();
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        shared.weights.load(weight_bytes).await;
        let mut place = shared.member_state.lock();
        place.loading -= 1;
        place.model = Some(model);
        place.version = Some(version);
    });
    OrderAnswer::Accepted
}

fn load_adapter(shared: &Arc<Shared>, adapter: AdapterId, weight_bytes: u64) -> OrderAnswer {
    {
        let mut place = shared.member_state.lock();
        if place.adapters.contains(&adapter) {
            return OrderAnswer::Done;
        }
        place.loading += 1;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        shared.weights.load(weight_bytes).await;
        let mut place = shared.member_state.lock();
        place.loading -= 1;
        place.adapters.push(adapter);
    });
    OrderAnswer::Accepted
}

fn release(shared: &Arc<Shared>) -> OrderAnswer {
    let mut place = shared.member_state.lock();
    let generation = place.generation;
    *place = MemberState { generation, ..MemberState::default() };
    OrderAnswer::Done
}

fn import(shared: &Arc<Shared>, attempt: AttemptId, from: SocketAddr) -> OrderAnswer {
    let shared = shared.clone();
    tokio::spawn(async move {
        let client = Client::unpooled(WATCH_TIMEOUT);
        let path = format!("/internal/kv/{attempt}");
        let exported = client.json::<(), _>(from, Method::GET, &path, None, WATCH_TIMEOUT).await;
        match exported {
            Ok(exported) => shared.attempts.import(&shared, exported),
            Err(error) => log::warn!("attempt {attempt} was not imported: {error}"),
        }
    });
    OrderAnswer::Accepted
}

/// Polls the other members until one is lost, or the engine has another place.
async fn watch_members(shared: Arc<Shared>, generation: Generation) {
    let client = Client::pooled(WATCH_TIMEOUT);
    let mut boots: Vec<Option<BootId>> = Vec::new();
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        let members = {
            let place = shared.member_state.lock();
            if place.generation != generation || place.member_lost || shared.down.is_cancelled() {
                return;
            }
            place.members.clone()
        };
        boots.resize(members.len(), None);
        for (rank, address) in members.iter().enumerate().skip(1) {
            let status: Result<Status, _> = client
                .json::<(), _>(*address, Method::GET, "/v1/status", None, WATCH_TIMEOUT)
                .await;
            let boot = status.ok().map(|status| status.boot);
            let lost = boot.is_none() || boots[rank].is_some_and(|known| Some(known) != boot);
            if lost {
                log::warn!("rank {rank} at {address} is lost; the group's work ends");
                shared.member_state.lock().member_lost = true;
                shared.attempts.lose_all();
                return;
            }
            boots[rank] = boot;
        }
    }
}
