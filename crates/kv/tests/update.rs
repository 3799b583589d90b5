//! Updates of one record by several writers, with lost responses and writes that are applied late.

use std::sync::Arc;
use std::time::Duration;

use kv::prelude::*;
use kv::record::HISTORY_WRITES;
use kv::record::WriteStatus;
use kv::store::StoreFuture;
use kv::update::Action;
use kv::update::Event;
use kv::update::Update;
use proptest::prelude::*;
use tokio::sync::mpsc;

type Body = Vec<u64>;

const WRITERS: usize = 3;
const DEADLINE: Duration = Duration::from_millis(30);
/// Added to the body by writes of others than the simulated writers.
const FOREIGN: u64 = 1_000;

/// Fault of one call, in the network or the service.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    ResponseLost,
    AppliedLate,
    Dropped,
    Down,
    Limited,
    /// Foreign writes come first, as many as the history holds.
    HistoryFlooded,
}

#[derive(Default)]
struct Simulation {
    revision: u64,
    current: Option<Stored<Body>>,
    late: Vec<(u64, Record<Body>)>,
    ids: u64,
}

impl Simulation {
    fn swap(&mut self, expected: u64, record: Record<Body>) -> Result<u64, Option<Stored<Body>>> {
        if self.current.as_ref().map_or(0, |current| current.mod_revision) != expected {
            return Err(self.current.clone());
        }
        self.revision += 1;
        self.current = Some(Stored { mod_revision: self.revision, record });
        Ok(self.revision)
    }

    fn apply_late(&mut self, index: usize) {
        if !self.late.is_empty() {
            let (expected, record) = self.late.remove(index % self.late.len());
            let _ = self.swap(expected, record);
        }
    }

    fn flood_history(&mut self) {
        for _ in 0..HISTORY_WRITES {
            self.ids += 1;
            let current = self.current.as_ref();
            let expected = current.map_or(0, |current| current.mod_revision);
            let mut body = current.map_or(Vec::new(), |current| current.record.body.clone());
            body.extend([FOREIGN]);
            let record = Record::successor(current.map(|current| &current.record), self.ids, body);
            self.swap(expected, record).expect("no other write came between");
        }
    }

    fn answer(&mut self, action: Action<Body>, writer: u64, fault: Fault) -> Event<Body> {
        let limited = KvError::RateLimited { retry_after: Duration::ZERO };
        match (action, fault) {
            (Action::Read, Fault::Down) => Event::Read(Err(KvError::Unavailable)),
            (Action::Read, Fault::Limited) => Event::Read(Err(limited)),
            (Action::Read, _) => Event::Read(Ok(self.current.clone())),
            (Action::Decide(current), _) => {
                self.ids += 1;
                let mut body = current.map_or(Vec::new(), |current| current.record.body);
                body.push(writer);
                Event::Decided(Some((self.ids, body)))
            }
            (Action::Swap { .. }, Fault::Down) => Event::Swapped(Err(KvError::Unavailable)),
            (Action::Swap { .. }, Fault::Limited) => Event::Swapped(Err(limited)),
            (Action::Swap { .. }, Fault::Dropped) => Event::Swapped(Err(KvError::Indeterminate)),
            (Action::Swap { expected, record }, Fault::AppliedLate) => {
                self.late.push((expected, record));
                Event::Swapped(Err(KvError::Indeterminate))
            }
            (Action::Swap { expected, record }, Fault::ResponseLost) => {
                let _ = self.swap(expected, record);
                Event::Swapped(Err(KvError::Indeterminate))
            }
            (Action::Swap { expected, record }, Fault::None | Fault::HistoryFlooded) => {
                Event::Swapped(Ok(self.swap(expected, record)))
            }
            (Action::Wait(_), _) => Event::WaitElapsed,
            (Action::End(_), _) => unreachable!("an ended writer takes no step"),
        }
    }
}

fn faults() -> impl Strategy<Value = Fault> {
    prop_oneof![
        4 => Just(Fault::None),
        2 => Just(Fault::ResponseLost),
        2 => Just(Fault::AppliedLate),
        1 => Just(Fault::Dropped),
        1 => Just(Fault::Down),
        1 => Just(Fault::Limited),
        1 => Just(Fault::HistoryFlooded),
    ]
}

/// Steps: which writer acts, the fault of its call, and which late write is applied first, if any.
fn steps() -> impl Strategy<Value = Vec<(usize, Fault, Option<usize>)>> {
    let late_write = proptest::option::weighted(0.3, 0..4usize);
    proptest::collection::vec((0..WRITERS, faults(), late_write), 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn outcome_agrees_with_the_stored_record(steps in steps()) {
        let mut simulation = Simulation::default();
        let mut updates: Vec<Update<Body>> = vec![Update::new(DEADLINE); WRITERS];
        let mut actions: Vec<Action<Body>> = updates
            .iter_mut()
            .map(|update| update.decide(Event::Started, Duration::ZERO, 0.5))
            .collect();
        // Steps without faults follow, so that every update ends.
        let fault_free = (0..400).map(|i| (i % WRITERS, Fault::None, None));
        let mut now = Duration::ZERO;
        for (writer, fault, late_write) in steps.into_iter().chain(fault_free) {
            now += Duration::from_millis(1);
            if let Some(index) = late_write {
                simulation.apply_late(index);
            }
            if matches!(fault, Fault::HistoryFlooded) {
                simulation.flood_history();
            }
            let action = actions[writer].clone();
            if matches!(action, Action::End(_)) {
                continue;
            }
            let event = simulation.answer(action, writer as u64, fault);
            actions[writer] = updates[writer].decide(event, now, 0.5);
        }
        while !simulation.late.is_empty() {
            simulation.apply_late(0);
        }
        let body = simulation.current.map_or(Vec::new(), |current| current.record.body);
        for (writer, action) in actions.iter().enumerate() {
            let times = body.iter().filter(|&&added| added == writer as u64).count();
            prop_assert!(times <= 1, "writer {writer} is in {body:?} {times} times");
            match action {
                Action::End(Outcome::Written { .. }) => prop_assert_eq!(times, 1),
                Action::End(Outcome::NotWritten(_)) => prop_assert_eq!(times, 0),
                Action::End(Outcome::Unknown) => {}
                other => prop_assert!(false, "writer {writer} did not end with a verdict: {other:?}"),
            }
        }
    }
}

#[test]
fn history_shows_applied_superseded_and_unknown_writes() {
    let mut record = Record::successor(None, 1, ());
    assert_eq!(record.write_status(2, 2), WriteStatus::Pending);
    for write in 2..=HISTORY_WRITES as u64 + 1 {
        record = Record::successor(Some(&record), write, ());
    }
    assert_eq!(record.writes.len(), HISTORY_WRITES);
    assert_eq!(record.write_status(2, 2), WriteStatus::Applied);
    assert_eq!(record.write_status(2, 99), WriteStatus::Superseded);
    assert_eq!(record.write_status(1, 1), WriteStatus::Unknown);
}

#[test]
fn every_error_of_a_history_is_reported() {
    let record = Record { number: 1, writes: vec![7, 0, 7], body: () };
    let mut findings = base::prelude::Findings::default();
    record.check("$", &mut findings);
    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["$.number", "$.writes[1]", "$.writes[2]"]);
}

/// A store whose first write takes effect but loses its response, after which another writer builds
/// on it before it can be read back.
struct OvertakenStore {
    inner: MemoryStore,
    armed: std::sync::atomic::AtomicBool,
}

impl Store for OvertakenStore {
    fn get<'a>(&'a self, key: &'a str) -> StoreFuture<'a, Option<Versioned>> {
        self.inner.get(key)
    }

    fn list<'a>(&'a self, prefix: &'a str) -> StoreFuture<'a, ListResult> {
        self.inner.list(prefix)
    }

    fn compare_and_swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Arc<[u8]>,
    ) -> StoreFuture<'a, CasResult> {
        Box::pin(async move {
            if !self.armed.swap(false, std::sync::atomic::Ordering::Relaxed) {
                return self.inner.compare_and_swap(key, expected, value).await;
            }
            self.inner.compare_and_swap(key, expected, value).await?;
            let add = |current: Option<&Stored<Body>>| {
                let mut body = current.map_or(Vec::new(), |current| current.record.body.clone());
                body.push(FOREIGN);
                Some(body)
            };
            kv::update::run(&self.inner, key, DEADLINE, add).await;
            Err(KvError::Indeterminate)
        })
    }

    fn delete<'a>(&'a self, key: &'a str, expected: u64) -> StoreFuture<'a, CasResult> {
        self.inner.delete(key, expected)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
    ) -> StoreFuture<'a, mpsc::Receiver<Watched>> {
        self.inner.watch(prefix, after)
    }
}

#[tokio::test]
async fn overtaken_write_is_known_to_have_taken_effect() {
    let store = OvertakenStore { inner: MemoryStore::default(), armed: true.into() };
    let outcome = kv::update::run(&store, "k", Duration::from_secs(5), |current| {
        let mut body =
            current.map_or(Vec::new(), |current: &Stored<Body>| current.record.body.clone());
        body.push(1);
        Some(body)
    })
    .await;
    let Outcome::Written { record, current } = outcome else { panic!("{outcome:?}") };
    assert_eq!(record.body, [1]);
    assert_eq!(current.record.body, [1, FOREIGN]);
}
