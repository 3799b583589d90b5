//! The text that a stand-in engine generates, as a function of what was asked.
//!
//! Engine and load generator compute it alike, so every answer can be checked byte for byte.

use base::hash;

/// Words that answers are made of.
const WORDS: [&str; 16] = [
    "tide", "lane", "crew", "draw", "gauge", "slack", "harbour", "notice", "race", "entry", "high",
    "low", "water", "reef", "rule", "club",
];

/// What determines a text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextInput<'a> {
    /// The version.
    pub version: &'a str,
    /// The adapter, empty if none.
    pub adapter: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The seed.
    pub seed: u64,
    /// Most tokens.
    pub max_tokens: u32,
}

impl TextInput<'_> {
    fn digest(&self) -> u64 {
        let text = format!("{}\0{}\0{}\0{}", self.version, self.adapter, self.prompt, self.seed);
        hash::stable(text.as_bytes())
    }

    /// Returns how many pieces the text has: between half of `max_tokens` and all of it.
    pub fn pieces(&self) -> u32 {
        let least = self.max_tokens.div_ceil(2);
        let spread = u64::from(self.max_tokens - least) + 1;
        let extra = self.digest() % spread;
        least + u32::try_from(extra).unwrap_or(0)
    }

    /// Returns piece `seq` of the text.
    pub fn piece(&self, seq: u32) -> String {
        let drawn = hash::stable(&(self.digest() ^ u64::from(seq)).to_le_bytes());
        let word = WORDS[usize::try_from(drawn % 16).unwrap_or(0)];
        format!("{word}{} ", drawn >> 56)
    }

    /// Returns the whole text.
    pub fn full_text(&self) -> String {
        (0..self.pieces()).map(|seq| self.piece(seq)).collect()
    }
}
