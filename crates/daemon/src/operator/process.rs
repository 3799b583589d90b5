//! Status of this process: the active revision, and whether it accepts new requests.

use spec::api::PeerView;
use spec::api::ProcessView;

use super::State;

/// Returns why the process accepts no new requests; `None` if it accepts them.
pub(super) fn not_ready(state: &State) -> Option<&'static str> {
    if state.cx.is_process_stopping() {
        Some("the process is stopping")
    } else if state.catalog.borrow().revision == 0 {
        Some("no configuration is in force yet")
    } else if !state.admission.borrow().accepts_requests {
        Some("neither the key-value service nor another process was heard for too long")
    } else {
        None
    }
}

/// Answers `GET /api/v1/status`.
pub(super) fn view(state: &State) -> ProcessView {
    let revision = state.catalog.borrow().revision;
    let highest = state.highest.borrow().revision.max(revision);
    let not_ready = not_ready(state);
    let lag = (highest > revision).then_some("a higher revision stands and is not pulled yet");
    let members = state.members.borrow().clone();
    let peers = members.members.iter().map(|member| PeerView {
        node: member.name.clone(),
        state: member.status.name().into(),
        revision: member.revision,
    });
    ProcessView {
        node: state.cx.node().clone(),
        boot: state.cx.boot(),
        failure_domain: state.settings.failure_domain.clone(),
        revision,
        highest,
        ready: not_ready.is_none(),
        reason: not_ready.or(lag).unwrap_or_default().into(),
        peers: peers.collect(),
    }
}
