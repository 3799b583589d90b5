//! What a client asks a server to play, sent as the body of its request.

/// An answer: a stream with `events`, or a plain one with `bytes`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Script {
    pub events: u32,
    pub pause_ms: u64,
    /// After this event (0: before the head) the first server is silent, for `silent_ms`.
    pub silent_after: u32,
    pub silent_ms: u64,
    pub bytes: usize,
}

impl Script {
    pub fn to_text(self) -> String {
        let Script { events, pause_ms, silent_after, silent_ms, bytes } = self;
        format!("{events} {pause_ms} {silent_after} {silent_ms} {bytes}")
    }

    /// Reads a script; a body may go on after it.
    pub fn parse(body: &[u8]) -> Script {
        let start = String::from_utf8_lossy(&body[..body.len().min(80)]).into_owned();
        let mut numbers = start.split_whitespace().map(|word| word.parse().unwrap_or(0));
        let mut next = || numbers.next().unwrap_or(0_u64);
        Script {
            events: next() as u32,
            pause_ms: next(),
            silent_after: next() as u32,
            silent_ms: next(),
            bytes: next() as usize,
        }
    }
}

/// Returns an event of a stream.
pub fn event(number: u32) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

/// A seeded sequence of numbers (splitmix64).
pub struct Numbers(u64);

impl Numbers {
    pub fn new(seed: u64, client: u64) -> Self {
        Numbers(seed.wrapping_mul(0x9E37_79B9).wrapping_add(client << 32))
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    }

    /// Returns a number of `range`, its end included.
    pub fn within(&mut self, (from, to): (u64, u64)) -> u64 {
        from + self.next() % (to - from + 1)
    }
}
