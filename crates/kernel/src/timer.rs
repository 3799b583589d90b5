//! The timer service: one task and one heap of deadlines for the whole process.
//!
//! Subscribers get ticks through a channel of depth one: a subscriber that is slow misses ticks
//! instead of queueing them. The heap is ordered by deadline, then by subscription number, so
//! that ticks due at the same instant come in the order of subscription.
//!
//! The clock is Tokio's, so tests pause and advance it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

/// A subscription to ticks; dropping it ends the subscription.
#[derive(Debug)]
pub struct Ticks {
    rx: mpsc::Receiver<()>,
}

impl Ticks {
    /// Waits for the next tick. Pends forever after the timer service ended.
    pub async fn tick(&mut self) {
        if self.rx.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

struct Subscription {
    first: Instant,
    period: Option<Duration>,
    tx: mpsc::Sender<()>,
}

/// Handle of the timer service. Clones subscribe to the same service.
#[derive(Clone, Debug)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

impl Timer {
    /// Starts the timer service on the current runtime; it ends when all handles are dropped.
    pub fn start() -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Timer { tx }
    }

    /// Subscribes to a tick each `period`, the first after one period.
    pub fn every(&self, period: Duration) -> Ticks {
        debug_assert!(!period.is_zero(), "a period of zero would never let the timer rest");
        self.subscribe(period, Some(period))
    }

    /// Subscribes to a single tick after `delay`.
    pub fn after(&self, delay: Duration) -> Ticks {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        // A send fails only when the process is ending; the ticks then pend.
        let _ = self.tx.send(Subscription { first: Instant::now() + delay, period, tx });
        Ticks { rx }
    }
}

type Deadline = Reverse<(Instant, u64)>;

#[derive(Default)]
struct Wheel {
    heap: BinaryHeap<Deadline>,
    live: std::collections::HashMap<u64, Subscription>,
    next: u64,
}

impl Wheel {
    fn add(&mut self, subscription: Subscription) {
        self.heap.push(Reverse((subscription.first, self.next)));
        self.live.insert(self.next, subscription);
        self.next += 1;
    }

    fn next_deadline(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    fn fire(&mut self, now: Instant) {
        while let Some(Reverse((at, id))) = self.heap.peek().copied() {
            if at > now {
                return;
            }
            self.heap.pop();
            self.fire_one(id, at, now);
        }
    }

    fn fire_one(&mut self, id: u64, at: Instant, now: Instant) {
        let Some(subscription) = self.live.get(&id) else { return };
        let gone =
            matches!(subscription.tx.try_send(()), Err(mpsc::error::TrySendError::Closed(())));
        match subscription.period {
            Some(period) if !gone => {
                // A process that was paused fires once, not once for each period it missed.
                let next = if at + period > now { at + period } else { now + period };
                self.heap.push(Reverse((next, id)));
            }
            _ => {
                self.live.remove(&id);
            }
        }
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut wheel = Wheel::default();
    loop {
        let deadline = wheel.next_deadline();
        let wait = async {
            match deadline {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            subscription = rx.recv() => match subscription {
                Some(subscription) => wheel.add(subscription),
                None => return,
            },
            () = wait => wheel.fire(Instant::now()),
        }
    }
}
