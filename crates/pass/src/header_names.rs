//! The names of the headers that callers and backend servers use.

use http::HeaderName;

/// The names of the headers that callers and backend servers use.
#[derive(Clone, Debug, PartialEq)]
pub struct HeaderNames {
    /// Id of the caller's request; backend servers echo it.
    pub attempt_id: HeaderName,
    /// How many more milliseconds the caller, or the receiver, may take.
    pub deadline_ms: HeaderName,
    /// Id of the backend server that alone may run the request.
    pub only_server: HeaderName,
    /// Id of a backend server, in its answers.
    pub server: HeaderName,
    /// Id of the backend server for whose sake a request was not run, in answers.
    pub fault_server: HeaderName,
    /// Name of the workspace.
    pub workspace: HeaderName,
    /// Rank of the request at the backend server.
    pub priority: HeaderName,
    /// Mark of an answer to a request that was not run.
    pub not_run: HeaderName,
    /// The backend server's signature of its answer.
    pub signature: HeaderName,
    /// The model.
    pub model: HeaderName,
    /// Tokens of the prompt, and most tokens of the answer.
    pub token_counts: HeaderName,
    /// The caller's guess at the tokens of the answer.
    pub length_hint: HeaderName,
    /// The prompt's parts.
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
            signature: name("samphire-signature"),
            model: name("samphire-model"),
            token_counts: name("samphire-tokens"),
            length_hint: name("samphire-length-hint"),
            prompt_parts: name("samphire-prompt-parts"),
        }
    }
}
