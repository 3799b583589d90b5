//! How this process stands: the revision in force, and why it takes no requests if it does not.

use spec::api::ProcessView;

use super::State;

/// Answers `GET /api/v1/status`.
pub(super) fn view(state: &State) -> ProcessView {
    let revision = state.catalog.borrow().revision;
    let reason = if state.cx.is_process_stopping() {
        "the process is stopping"
    } else if revision == 0 {
        "no configuration is in force yet"
    } else {
        ""
    };
    ProcessView {
        node: state.cx.node().clone(),
        boot: state.cx.boot(),
        failure_domain: state.settings.failure_domain.clone(),
        revision,
        highest: revision,
        ready: reason.is_empty(),
        reason: reason.into(),
        peers: Vec::new(),
    }
}
