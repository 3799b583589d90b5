//! The protocol of model engines: the messages that backend servers receive and send, as JSON over
//! HTTP.
//!
//! - [`generate`]: requests for text, the stream that answers them, resuming and cancelling.
//! - [`status`]: an engine's answer to a probe, and its cache events.
//! - [`order`]: orders of a group controller to an engine, with a fencing token.
//!
//! | path | method | body | answer |
//! |---|---|---|---|
//! | `/v1/generate` | POST | [`Generate`](generate::Generate) | server-sent [`Item`](generate::Item)s, or a [`Refusal`](generate::Refusal) with status 409 |
//! | `/v1/resume` | POST | [`Resume`](generate::Resume) | the same |
//! | `/v1/cancel` | POST | [`Cancel`](generate::Cancel) | empty |
//! | `/v1/status` | GET | | [`Status`](status::Status) |
//! | `/v1/cache-events?from=N` | GET | | [`CacheEvents`](status::CacheEvents) |
//! | `/v1/order` | POST | [`Order`](order::Order) | [`OrderAnswer`](order::OrderAnswer) |
//!
//! ```
//! use engine::prelude::*;
//!
//! let item = Item::Piece(Piece { attempt: 7, seq: 0, text: "high water".into() });
//! let text = serde_json::to_string(&item).unwrap();
//! assert_eq!(text, r#"{"piece":{"attempt":7,"seq":0,"text":"high water"}}"#);
//! ```

pub mod generate;
pub mod order;
pub mod status;

/// The common types of this crate.
pub mod prelude {
    pub use crate::generate::Cancel;
    pub use crate::generate::End;
    pub use crate::generate::FinishReason;
    pub use crate::generate::Generate;
    pub use crate::generate::Item;
    pub use crate::generate::Piece;
    pub use crate::generate::Refusal;
    pub use crate::generate::RefusalReason;
    pub use crate::generate::Resume;
    pub use crate::order::Order;
    pub use crate::order::OrderAnswer;
    pub use crate::order::OrderKind;
    pub use crate::status::CacheEvents;
    pub use crate::status::Load;
    pub use crate::status::Status;
}
