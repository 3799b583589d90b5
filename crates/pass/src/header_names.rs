//! The names of the headers that callers and backend servers use.

use http::HeaderName;

/// The names of the headers that callers and backend servers use.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderNames {
    /// Id of the caller's request; backend servers echo it.
    pub attempt_id: HeaderName,
    /// Milliseconds that the caller still waits, or that the receiver may take.
    pub deadline_ms: HeaderName,
    /// Id of the only backend server that may run the request.
    pub only_server: HeaderName,
    /// In responses: id of the backend server.
    pub server: HeaderName,
    /// In responses: id of the backend server that is the reason why the request was not run.
    pub fault_server: HeaderName,
    /// Name of the workspace.
    pub workspace: HeaderName,
    /// Priority of the request at the backend server.
    pub priority: HeaderName,
    /// In responses: marks a request that was not run.
    pub not_run: HeaderName,
    /// In responses: the requests a second that the backend server takes from all processes together.
    pub server_limit: HeaderName,
    /// In responses: 1 if the backend server will end soon and wants no new requests.
    pub leaving: HeaderName,
    /// In responses: milliseconds until the backend server's warm-up ends.
    pub warm_up_ms: HeaderName,
    /// In responses: the backend server's signature.
    pub signature: HeaderName,
    /// The model.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens.
    pub token_counts: HeaderName,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: HeaderName,
    /// The parts of the prompt.
    pub prompt_parts: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        HeaderNames {
            attempt_id: name("samphire-attempt"),
            deadline_ms: name("samphire-deadline-ms"),
            only_server: name("samphire-only-server"),
            server: name("samphire-server"),
            fault_server: name("samphire-fault-server"),
            workspace: name("samphire-workspace"),
            priority: name("samphire-rank"),
            not_run: name("samphire-not-run"),
            server_limit: name("samphire-server-limit"),
            leaving: name("samphire-leaving"),
            warm_up_ms: name("samphire-warm-up-ms"),
            signature: name("samphire-signature"),
            model: name("samphire-model"),
            token_counts: name("samphire-tokens"),
            length_hint: name("samphire-length-hint"),
            prompt_parts: name("samphire-prompt-parts"),
        }
    }
}
