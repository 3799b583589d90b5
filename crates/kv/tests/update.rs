//! Changes of one record by several writers, with lost answers and writes that land late.

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
/// Added by writes that are no writer's.
const FOREIGN: u64 = 1_000;

/// What the network and the service do to one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    AnswerLost,
    LandsLate,
    Dropped,
    Down,
    Limited,
    /// Many foreign writes come first.
    Flood,
}

#[derive(Default)]
struct World {
    revision: u64,
    current: Option<Stored<Body>>,
    late: Vec<(u64, Record<Body>)>,
    ids: u64,
}

impl World {
    fn swap(&mut self, expected: u64, record: Record<Body>) -> Result<u64, Option<Stored<Body>>> {
        if self.current.as_ref().map_or(0, |current| current.mod_revision) != expected {
            return Err(self.current.clone());
        }
        self.revision += 1;
        self.current = Some(Stored { mod_revision: self.revision, record });
        Ok(self.revision)
    }

    fn land(&mut self, index: usize) {
        if !self.late.is_empty() {
            let (expected, record) = self.late.remove(index % self.late.len());
            let _ = self.swap(expected, record);
        }
    }

    fn flood(&mut self) {
        for _ in 0..HISTORY_WRITES {
            self.ids += 1;
            let current = self.current.as_ref();
            let expected = current.map_or(0, |current| current.mod_revision);
            let mut body = current.map_or(Vec::new(), |current| current.record.body.clone());
            body.extend([FOREIGN]);
            let record = Record::successor(current.map(|current| &current.record), self.ids, body);
            self.swap(expected, record).expect("nobody came between");
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
            (Action::Swap { expected, record }, Fault::LandsLate) => {
                self.late.push((expected, record));
                Event::Swapped(Err(KvError::Indeterminate))
            }
            (Action::Swap { expected, record }, Fault::AnswerLost) => {
                let _ = self.swap(expected, record);
                Event::Swapped(Err(KvError::Indeterminate))
            }
            (Action::Swap { expected, record }, Fault::None | Fault::Flood) => {
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
        2 => Just(Fault::AnswerLost),
        2 => Just(Fault::LandsLate),
        1 => Just(Fault::Dropped),
        1 => Just(Fault::Down),
        1 => Just(Fault::Limited),
        1 => Just(Fault::Flood),
    ]
}

/// One step: which writer, what happens to its call, and whether a late write lands first.
fn steps() -> impl Strategy<Value = Vec<(usize, Fault, Option<usize>)>> {
    let landing = proptest::option::weighted(0.3, 0..4usize);
    proptest::collection::vec((0..WRITERS, faults(), landing), 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    #[test]
    fn outcome_agrees_with_what_stands(steps in steps()) {
        let mut world = World::default();
        let mut updates: Vec<Update<Body>> = vec![Update::new(DEADLINE); WRITERS];
        let mut actions: Vec<Action<Body>> = updates
            .iter_mut()
            .map(|update| update.decide(Event::Started, Duration::ZERO, 0.5))
            .collect();
        // After the steps there are no more faults, so that every change ends.
        let quiet = (0..400).map(|i| (i % WRITERS, Fault::None, None));
        let mut now = Duration::ZERO;
        for (writer, fault, landing) in steps.into_iter().chain(quiet) {
            now += Duration::from_millis(1);
            if let Some(index) = landing {
                world.land(index);
            }
            if matches!(fault, Fault::Flood) {
                world.flood();
            }
            let action = actions[writer].clone();
            if matches!(action, Action::End(_)) {
                continue;
            }
            let event = world.answer(action, writer as u64, fault);
            actions[writer] = updates[writer].decide(event, now, 0.5);
        }
        while !world.late.is_empty() {
            world.land(0);
        }
        let body = world.current.map_or(Vec::new(), |current| current.record.body);
        for (writer, action) in actions.iter().enumerate() {
            let times = body.iter().filter(|&&added| added == writer as u64).count();
            prop_assert!(times <= 1, "writer {writer} is in {body:?} {times} times");
            match action {
                Action::End(Outcome::Written { .. }) => prop_assert_eq!(times, 1),
                Action::End(Outcome::NotWritten(_)) => prop_assert_eq!(times, 0),
                Action::End(Outcome::Unknown) => {}
                other => prop_assert!(false, "writer {writer} did not end well: {other:?}"),
            }
        }
    }
}

#[test]
fn history_tells_yes_no_and_unknown() {
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
fn every_fault_of_a_history_is_found() {
    let record = Record { number: 1, writes: vec![7, 0, 7], body: () };
    let mut findings = base::prelude::Findings::default();
    record.check("$", &mut findings);
    let places: Vec<&str> = findings.iter().map(|finding| &*finding.place).collect();
    assert_eq!(places, ["$.number", "$.writes[1]", "$.writes[2]"]);
}

/// A store whose first write takes effect and loses its answer, after which another writer builds
/// on it before it can be read back.
struct Overtaken {
    inner: MemoryStore,
    armed: std::sync::atomic::AtomicBool,
}

impl Store for Overtaken {
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
    ) -> StoreFuture<'a, mpsc::Receiver<WatchEvent>> {
        self.inner.watch(prefix, after)
    }
}

#[tokio::test]
async fn overtaken_write_is_known_to_have_taken_effect() {
    let store = Overtaken { inner: MemoryStore::default(), armed: true.into() };
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
