//! Orders, fencing, loading, and health checks of the group's other members.
//!
//! A group needs all its members. Rank 0 polls the status of the others; when one does not respond
//! or has a new boot id, rank 0 drops its attempts and is not ready until its next assignment.
//!
//! Fencing: an order with a generation below the highest one seen is refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::prelude::*;
use engine::prelude::*;
use http::Method;
use web::prelude::*;

use crate::engine::Shared;

/// Period in which rank 0 polls the other members.
const WATCH_PERIOD: Duration = Duration::from_millis(100);
/// Timeout of a member's response.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);

/// An engine's group assignment and loaded weights.
#[data]
#[derive(Default)]
pub struct MemberState {
    /// The group.
    pub group: Option<GroupId>,
    /// The highest fencing token (generation) seen.
    pub generation: Generation,
    /// The engine's rank in the group.
    pub rank: u32,
    /// Addresses of the members, by rank.
    pub members: Vec<SocketAddr>,
    /// The model that is loaded.
    pub model: Option<ModelId>,
    /// The version that is loaded.
    pub version: Option<VersionId>,
    /// The adapters that are loaded.
    pub adapters: Vec<AdapterId>,
    /// Number of loads in progress.
    pub loading: u32,
    /// Whether another member was lost since the assignment; set at rank 0 only.
    pub member_lost: bool,
}

impl MemberState {
    /// Returns whether the engine is assigned, loaded, and without a lost member.
    pub fn is_ready(&self) -> bool {
        self.group.is_some() && self.version.is_some() && self.loading == 0 && !self.member_lost
    }
}

/// Executes an order, unless its fencing token is outdated.
pub fn execute(shared: &Arc<Shared>, order: Order) -> OrderAnswer {
    {
        let mut state = shared.member_state.lock();
        if shared.options.checks_fencing && order.generation < state.generation {
            return OrderAnswer::Fenced { highest: state.generation };
        }
        state.generation = order.generation;
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
    let mut state = shared.member_state.lock();
    state.group = Some(group);
    state.rank = rank;
    state.members = members;
    state.member_lost = false;
    let generation = state.generation;
    drop(state);
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
        let mut state = shared.member_state.lock();
        if state.model.as_ref() == Some(&model) && state.version.as_ref() == Some(&version) {
            return OrderAnswer::Done;
        }
        state.loading += 1;
        state.version = None;
        state.adapters.clear();
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        shared.weights.load(weight_bytes).await;
        let mut state = shared.member_state.lock();
        state.loading -= 1;
        state.model = Some(model);
        state.version = Some(version);
    });
    OrderAnswer::Accepted
}

fn load_adapter(shared: &Arc<Shared>, adapter: AdapterId, weight_bytes: u64) -> OrderAnswer {
    {
        let mut state = shared.member_state.lock();
        if state.adapters.contains(&adapter) {
            return OrderAnswer::Done;
        }
        state.loading += 1;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        shared.weights.load(weight_bytes).await;
        let mut state = shared.member_state.lock();
        state.loading -= 1;
        state.adapters.push(adapter);
    });
    OrderAnswer::Accepted
}

fn release(shared: &Arc<Shared>) -> OrderAnswer {
    let mut state = shared.member_state.lock();
    let generation = state.generation;
    *state = MemberState { generation, ..MemberState::default() };
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
            Err(error) => log::warn!("import of attempt {attempt} from {from} failed: {error}"),
        }
    });
    OrderAnswer::Accepted
}

/// Polls the other members until one is lost or the engine has a newer generation.
async fn watch_members(shared: Arc<Shared>, generation: Generation) {
    let client = Client::pooled(WATCH_TIMEOUT);
    let mut boots: Vec<Option<BootId>> = Vec::new();
    loop {
        tokio::time::sleep(WATCH_PERIOD).await;
        let members = {
            let state = shared.member_state.lock();
            if state.generation != generation || state.member_lost || shared.down.is_cancelled() {
                return;
            }
            state.members.clone()
        };
        boots.resize(members.len(), None);
        for (rank, address) in members.iter().enumerate().skip(1) {
            let status: Result<Status, _> = client
                .json::<(), _>(*address, Method::GET, "/v1/status", None, WATCH_TIMEOUT)
                .await;
            let boot = status.ok().map(|status| status.boot);
            let lost = boot.is_none() || boots[rank].is_some_and(|known| Some(known) != boot);
            if lost {
                log::warn!("member of rank {rank} at {address} is lost; dropping all attempts");
                shared.member_state.lock().member_lost = true;
                shared.attempts.lose_all();
                return;
            }
            boots[rank] = boot;
        }
    }
}
