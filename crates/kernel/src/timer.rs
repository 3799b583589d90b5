//! The timer service: one task and one heap of deadlines for the whole process.
//!
//! Subscribers receive ticks through a channel of capacity one: a slow subscriber misses ticks
//! instead of queueing them. The heap is ordered by deadline, then by subscription number, so
//! that ticks due at the same instant are sent in the order of subscription.
//!
//! Time is read from Tokio's clock, so tests can pause and advance it.

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
    /// Waits for the next tick. Never resolves once the timer service has ended.
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

/// Handle of the timer service. Clones refer to the same service.
#[derive(Clone, Debug)]
pub struct Timer {
    tx: mpsc::UnboundedSender<Subscription>,
}

impl Timer {
    /// Starts the timer service on the current runtime; it ends when all handles are dropped.
    pub fn start() -> Self {
        let (timer, running) = Timer::new();
        tokio::spawn(running);
        timer
    }

    /// Returns a timer service and the future that runs it until all handles are dropped.
    pub(crate) fn new() -> (Self, impl Future<Output = ()> + Send + 'static) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Timer { tx }, run(rx))
    }

    /// Subscribes to a tick every `period`, which must not be zero; the first comes after one
    /// period.
    pub fn every(&self, period: Duration) -> Ticks {
        debug_assert!(!period.is_zero(), "a period of zero would keep the timer task busy");
        self.subscribe(period, Some(period))
    }

    /// Subscribes to a single tick after `delay`.
    pub fn after(&self, delay: Duration) -> Ticks {
        self.subscribe(delay, None)
    }

    fn subscribe(&self, delay: Duration, period: Option<Duration>) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        // The send fails only while the process is ending; the ticks then never resolve.
        let _ = self.tx.send(Subscription { first: Instant::now() + delay, period, tx });
        Ticks { rx }
    }
}

type Deadline = Reverse<(Instant, u64)>;

#[derive(Default)]
struct DeadlineQueue {
    heap: BinaryHeap<Deadline>,
    subscriptions: std::collections::HashMap<u64, Subscription>,
    next_id: u64,
}

impl DeadlineQueue {
    fn add(&mut self, subscription: Subscription) {
        self.heap.push(Reverse((subscription.first, self.next_id)));
        self.subscriptions.insert(self.next_id, subscription);
        self.next_id += 1;
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
        let Some(subscription) = self.subscriptions.get(&id) else { return };
        let is_dropped =
            matches!(subscription.tx.try_send(()), Err(mpsc::error::TrySendError::Closed(())));
        match subscription.period {
            Some(period) if !is_dropped => {
                // After the process was paused, the subscription fires once, not once for each missed
                // period.
                let next = if at + period > now { at + period } else { now + period };
                self.heap.push(Reverse((next, id)));
            }
            _ => {
                self.subscriptions.remove(&id);
            }
        }
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut queue = DeadlineQueue::default();
    loop {
        let deadline = queue.next_deadline();
        let wait = async {
            match deadline {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            subscription = rx.recv() => match subscription {
                Some(subscription) => queue.add(subscription),
                None => return,
            },
            () = wait => queue.fire(Instant::now()),
        }
    }
}
