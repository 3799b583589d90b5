//! The text that a stand-in engine generates, as a pure function of the request.
//!
//! The engine and the load generator compute the same function, so every answer can be checked
//! byte for byte. A text is a sequence of pieces, one per token; piece `i` is a word and a number
//! derived from a hash of the request and `i`.

use base::hash;

/// The vocabulary of the generated texts.
const WORDS: [&str; 16] = [
    "tide", "lane", "crew", "draw", "gauge", "slack", "harbour", "notice", "race", "entry", "high",
    "low", "water", "reef", "rule", "club",
];

/// The parts of a request that determine the generated text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextInput<'a> {
    /// The version.
    pub version: &'a str,
    /// The adapter; empty if there is none.
    pub adapter: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The seed.
    pub seed: u64,
    /// Maximum number of tokens.
    pub max_tokens: u32,
}

impl TextInput<'_> {
    fn digest(&self) -> u64 {
        let text = format!("{}\0{}\0{}\0{}", self.version, self.adapter, self.prompt, self.seed);
        hash::stable(text.as_bytes())
    }

    /// Returns the number of pieces: between half of `max_tokens`, rounded up, and `max_tokens`.
    pub fn pieces(&self) -> u32 {
        let min = self.max_tokens.div_ceil(2);
        let spread = u64::from(self.max_tokens - min) + 1;
        let extra = self.digest() % spread;
        min + u32::try_from(extra).unwrap_or(0)
    }

    /// Returns piece `seq` of the text.
    pub fn piece(&self, seq: u32) -> String {
        let hash = hash::stable(&(self.digest() ^ u64::from(seq)).to_le_bytes());
        let word = WORDS[usize::try_from(hash % 16).unwrap_or(0)];
        format!("{word}{} ", hash >> 56)
    }

    /// Returns the whole text.
    pub fn full_text(&self) -> String {
        (0..self.pieces()).map(|seq| self.piece(seq)).collect()
    }
}
