//! Which processes take requests over from others, and what they see of the paths to servers.
//!
//! Each process tells its hub now and then where it listens and whether it reaches servers. A process that
//! needs helpers asks all hubs for the processes of their domains that do. Any process can be asked which
//! servers it reaches, so that one that can't connect to a server learns whether that is the server's
//! state or the path's.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use base::prelude::*;
use form::prelude::*;
use futures::future::join_all;
use parking_lot::Mutex;
use pass::helpers::Helper;
use pass::paths::CheckTarget;
use pass::prelude::*;
use web::prelude::*;

use super::State;
use super::exchange;
use super::hubs;
use super::reach;

/// How long a call to a hub may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a process counts as a helper after its last announcement.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(12);
/// Most processes that may announce themselves at one hub.
const MAX_ANNOUNCEMENTS: usize = 1_024;
/// Most helpers of the own domain in a response.
const MAX_HELPERS: usize = 16;
/// Most helpers of other domains in a response.
const MAX_OTHER_HELPERS: usize = 4;
/// Number of processes that are asked which servers they reach.
const WITNESSES: usize = 3;
/// Most servers that one question names.
pub(super) const MAX_SERVERS: usize = 8;

/// A process says where it listens and whether it takes requests over, and asks for helpers.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct HelpersRequest {
    address: SocketAddr,
    failure_domain: FailureDomainId,
    is_cut_off: bool,
}

/// The helpers that a hub knows.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct HelpersResponse {
    helpers: Vec<Helper>,
}

/// Asks a process which servers it reaches.
#[data]
#[derive(serde::Serialize, serde::Deserialize)]
pub(super) struct PathsRequest {
    servers: Vec<ServerId>,
}

/// Which of these servers a process reaches.
#[data]
#[derive(serde::Serialize, serde::Deserialize, Default)]
pub(super) struct PathsResponse {
    reached: Vec<ServerId>,
}

/// The processes that have announced themselves here.
#[derive(Default)]
pub(super) struct Announcements(Mutex<HashMap<SocketAddr, Announcement>>);

struct Announcement {
    failure_domain: FailureDomainId,
    is_cut_off: bool,
    at: Mono,
}

/// Announces this process to the hub at `address`; returns the helpers that the hub names.
pub(super) async fn announce(
    state: &State,
    address: SocketAddr,
) -> Result<Vec<Helper>, ClientError> {
    let request = HelpersRequest {
        address: state.settings.peers,
        failure_domain: state.settings.failure_domain.clone(),
        is_cut_off: !takes_requests(state),
    };
    let called = exchange::call_hub(state, address, "/helpers", &request, CALL_TIMEOUT).await;
    called.map(|response: HelpersResponse| response.helpers)
}

/// Asks all hubs for helpers.
pub(super) async fn refresh(state: &State) {
    let others = hubs(state).into_iter().filter(|address| *address != state.settings.peers);
    let asked = join_all(others.map(|address| announce(state, address))).await;
    // Failed calls are logged where they occur.
    let mut helpers: Vec<Helper> = asked.into_iter().flatten().flatten().collect();
    helpers.extend(known_helpers(state, state.settings.peers));
    set(state, &helpers);
}

/// Replaces the helpers of this process.
pub(super) fn set(state: &State, helpers: &[Helper]) {
    let others = helpers.iter().filter(|helper| helper.address != state.settings.peers);
    let others: Vec<Helper> = others.cloned().collect();
    state.shared.local.lock().helpers.set(&others, &state.settings.failure_domain);
}

/// Answers an announcement.
pub(super) fn respond(state: &State, request: HelpersRequest) -> HelpersResponse {
    let now = state.cx.now();
    let announcement = Announcement {
        failure_domain: request.failure_domain,
        is_cut_off: request.is_cut_off,
        at: now,
    };
    {
        let mut announced = state.announcements.0.lock();
        announced.retain(|_, announcement| now < announcement.at + ANNOUNCEMENT_TTL);
        if announced.len() < MAX_ANNOUNCEMENTS || announced.contains_key(&request.address) {
            announced.insert(request.address, announcement);
        }
    }
    let mut helpers = known_helpers(state, request.address);
    let local = state.shared.local.lock();
    helpers.extend(local.helpers.of_other_domains(MAX_OTHER_HELPERS, now));
    HelpersResponse { helpers }
}

/// Returns the processes that have announced themselves here and reach servers, and this one if it does;
/// `except` is left out.
fn known_helpers(state: &State, except: SocketAddr) -> Vec<Helper> {
    let now = state.cx.now();
    let announced = state.announcements.0.lock();
    let is_usable = |announcement: &Announcement| {
        !announcement.is_cut_off && now < announcement.at + ANNOUNCEMENT_TTL
    };
    let mut helpers: Vec<Helper> = announced
        .iter()
        .filter(|(address, announcement)| **address != except && is_usable(announcement))
        .map(|(address, announcement)| Helper {
            address: *address,
            failure_domain: announcement.failure_domain.clone(),
        })
        .collect();
    // Hubs name different ones of many, since each map has an order of its own.
    helpers.truncate(MAX_HELPERS);
    if takes_requests(state) {
        let failure_domain = state.settings.failure_domain.clone();
        helpers.push(Helper { address: state.settings.peers, failure_domain });
    }
    helpers
}

/// Returns whether this process takes requests over. One that is still finding out whether it reaches
/// servers doesn't.
fn takes_requests(state: &State) -> bool {
    state.shared.local.lock().endpoints.paths.reach() == Reach::Open
        && !state.cx.is_process_stopping()
}

/// Answers which servers this process reaches.
pub(super) async fn respond_paths(state: &State, mut request: PathsRequest) -> PathsResponse {
    request.servers.truncate(MAX_SERVERS);
    let targets: Vec<CheckTarget> = {
        let local = state.shared.local.lock();
        // A server whose report is missing may live behind a cut.
        let ready = request.servers.iter().filter_map(|id| local.reports().last_report(id));
        ready.filter(|server| local.may_be_checked(server)).map(reach::target).collect()
    };
    // That a server refuses this process as well is no news that others must hear of.
    PathsResponse { reached: reach::accepting(&targets).await }
}

/// Returns which of `servers` others reach. Several processes are asked, since the paths from one of them
/// may be cut as well.
pub(super) async fn reached_elsewhere(state: &State, servers: &[ServerId]) -> Vec<ServerId> {
    let request = &PathsRequest { servers: servers.to_vec() };
    let now = state.cx.now();
    let asked = state.shared.local.lock().helpers.witnesses(WITNESSES, now);
    let calls = asked.into_iter().map(|address| async move {
        let call = exchange::call_hub(state, address, "/paths", request, CALL_TIMEOUT).await;
        // A failed call is logged where it occurs.
        call.unwrap_or_default()
    });
    let responses: Vec<PathsResponse> = join_all(calls).await;
    let reached: BTreeSet<ServerId> = responses.into_iter().flat_map(|r| r.reached).collect();
    reached.into_iter().collect()
}
