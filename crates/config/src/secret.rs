//! Credentials that are never printed.

use std::fmt;

/// A credential. Its debug and JSON forms are `***`.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a credential.
    pub fn new(text: impl Into<Box<str>>) -> Self {
        Secret(text.into())
    }

    /// Returns the credential itself. It may be sent or compared, but must never be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("***")
    }
}

impl serde::Serialize for Secret {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str("***")
    }
}
