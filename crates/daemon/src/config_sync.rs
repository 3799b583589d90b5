//! Distribution of the configuration: input and output of the state machines [`member::sync`] and
//! [`spec::active_catalog`].
//!
//! A few processes of each failure domain watch the key-value service ([`member::sync`]). All
//! others learn of revisions by gossip and pull them from peers ([`spec::active_catalog`]). A
//! process without contact to any peer checks periodically that the key-value service still
//! answers, because a process without contact to either must stop accepting new requests after the
//! staleness bound.

use std::sync::Arc;

use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use member::prelude::Fact;
use member::prelude::FactKey;
use member::sync;
use member::sync::RevisionSync;
use rand::Rng;
use spec::active_catalog;
use spec::active_catalog::ActiveCatalog;
use spec::active_catalog::Source;
use spec::prelude::CATALOG_KEY;
use spec::prelude::Catalog;
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::catalog::Admission;
use crate::catalog::HighestRevision;
use crate::catalog::StoredCatalog;
use crate::member::Facts;
use crate::member::MemberMessage;
use crate::member::MembershipView;
use crate::member::PeerContact;
use crate::metrics::Metrics;
use crate::names;
use crate::peer::client::PeerClient;

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(100);
/// Range of the random delay after a failed watch of the key-value service, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 200..1_000;
/// A key that is never written. Reading it is cheap and shows whether the service answers.
const CONTACT_KEY: &str = "samphire/contact";
/// Number of times within the staleness bound that a process without peers reads [`CONTACT_KEY`].
const CONTACTS_PER_BOUND: u32 = 4;
/// Lifetime of the fact that announces a revision.
const REVISION_LIFETIME: Duration = Duration::from_secs(600);
/// Capacity of the channel of call outcomes.
const OUTCOME_DEPTH: usize = 64;

/// The views published to other services.
pub(crate) struct Views {
    pub(crate) catalog: watch::Sender<Arc<Catalog>>,
    pub(crate) admission: watch::Sender<Arc<Admission>>,
    pub(crate) highest: watch::Sender<Arc<HighestRevision>>,
}

/// The outcome of a call that ran in a task of its own.
enum Outcome {
    /// The catalog stored in the key-value service, or why it could not be read.
    Read(Result<Arc<Catalog>, KvError>),
    /// The key-value service answered a read of [`CONTACT_KEY`].
    Contact,
    /// An event for [`ActiveCatalog`].
    ActiveCatalog(active_catalog::Event),
}

/// The running service.
pub(crate) struct Shell {
    cx: Context,
    settings: Arc<Settings>,
    metrics: Metrics,
    store: Arc<dyn Store>,
    client: PeerClient,
    views: Views,
    members: watch::Receiver<Arc<MembershipView>>,
    facts: watch::Receiver<Arc<Facts>>,
    peer_contacts: broadcast::Receiver<PeerContact>,
    member: mpsc::Sender<MemberMessage>,
    active_catalog: ActiveCatalog,
    sync: RevisionSync,
    outcomes: mpsc::Sender<Outcome>,
    call_outcomes: Option<mpsc::Receiver<Outcome>>,
    watch: Option<AbortHandle>,
    /// Time of the last contact with a peer or with the key-value service.
    last_contact: Mono,
}

impl Shell {
    pub(crate) fn new(cx: &Context, views: Views) -> Result<Self, ServiceError> {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let (outcomes, call_outcomes) = mpsc::channel(OUTCOME_DEPTH);
        let peer_contacts: broadcast::Sender<PeerContact> = cx.registry().lookup(names::MEMBER)?;
        Ok(Shell {
            metrics: cx.registry().lookup(names::PROCESS)?,
            store: cx.registry().lookup(names::STORE)?,
            client: cx.registry().lookup(names::PEER)?,
            members: cx.subscribe(names::MEMBER)?,
            facts: cx.subscribe(names::MEMBER)?,
            peer_contacts: peer_contacts.subscribe(),
            member: cx.sender(names::MEMBER)?,
            active_catalog: ActiveCatalog::new(cx.now(), settings.peers.staleness_bound),
            sync: RevisionSync::new(cx.node().clone()),
            last_contact: cx.now(),
            cx: cx.clone(),
            settings,
            views,
            outcomes,
            call_outcomes: Some(call_outcomes),
            watch: None,
        })
    }

    pub(crate) async fn run(
        mut self,
        mut inbox: mpsc::Receiver<StoredCatalog>,
    ) -> Result<(), ServiceError> {
        let mut ticks = self.cx.every(TICK);
        let Some(mut call_outcomes) = self.call_outcomes.take() else { return Ok(()) };
        self.set_watch(self.sync.is_watching());
        loop {
            tokio::select! {
                () = ticks.tick() => self.tick(),
                Some(outcome) = call_outcomes.recv() => self.call_finished(outcome),
                Some(StoredCatalog(catalog)) = inbox.recv() => self.catalog_stored(catalog),
                contact = self.peer_contacts.recv() => match contact {
                    Ok(contact) => self.peer_heard(contact),
                    // Every process sends its revision again soon.
                    Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return Ok(()),
                },
                Ok(()) = self.members.changed() => self.members_changed(),
                Ok(()) = self.facts.changed() => self.facts_changed(),
            }
        }
    }

    fn tick(&mut self) {
        self.decide_active_catalog(active_catalog::Event::Tick);
        self.decide_sync(sync::Event::Tick);
        let period = self.settings.peers.staleness_bound / CONTACTS_PER_BOUND;
        if self.cx.now() >= self.last_contact + period {
            self.last_contact = self.cx.now();
            self.spawn(|store, _| async move {
                let found = store.get(CONTACT_KEY).await;
                found.is_ok().then_some(Outcome::Contact)
            });
        }
        let revision = self.sync.highest();
        self.views.highest.send_if_modified(|highest| {
            let is_higher = revision > highest.revision;
            if is_higher {
                *highest = Arc::new(HighestRevision { revision });
            }
            is_higher
        });
    }

    fn peer_heard(&mut self, PeerContact { peer, revision }: PeerContact) {
        self.last_contact = self.cx.now();
        self.decide_active_catalog(active_catalog::Event::PeerRevision { peer, revision });
    }

    fn catalog_stored(&mut self, catalog: Arc<Catalog>) {
        self.last_contact = self.cx.now();
        self.decide_active_catalog(active_catalog::Event::Stored(catalog));
    }

    fn call_finished(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Read(Ok(catalog)) => self.catalog_stored(catalog),
            Outcome::Read(Err(error)) => {
                log::warn!("key `{CATALOG_KEY}`: {error}");
                self.decide_active_catalog(active_catalog::Event::ReadFailed);
            }
            Outcome::Contact => {
                let catalog = self.views.catalog.borrow().clone();
                if catalog.revision > 0 {
                    self.catalog_stored(catalog);
                }
            }
            Outcome::ActiveCatalog(event) => self.decide_active_catalog(event),
        }
    }

    fn members_changed(&mut self) {
        let view = self.members.borrow_and_update().clone();
        for lost in view.members.iter().filter(|member| !member.status.is_live()) {
            self.decide_active_catalog(active_catalog::Event::PeerLost(lost.name.clone()));
        }
        let domain = &self.settings.failure_domain;
        let domain_members = view.live().filter(|member| member.failure_domain == *domain);
        let domain_members = domain_members.map(|member| member.name.clone()).collect();
        self.decide_sync(sync::Event::DomainMembers(domain_members));
    }

    fn facts_changed(&mut self) {
        let facts = self.facts.borrow_and_update().clone();
        let announced = facts.facts.iter().find(|fact| fact.key == FactKey::Revision);
        if let Some(Fact { version, owner, .. }) = announced {
            let owner = owner.clone();
            self.decide_sync(sync::Event::Announced { revision: *version, owner });
        }
    }

    fn decide_active_catalog(&mut self, event: active_catalog::Event) {
        for action in self.active_catalog.decide(event, self.cx.now()) {
            match action {
                active_catalog::Action::Activate { catalog, source } => {
                    self.activate(catalog, &source)
                }
                active_catalog::Action::Pull { peer, from } => self.pull(peer, from),
                active_catalog::Action::Read => self.read(),
                active_catalog::Action::SetAdmission(accepts_requests) => {
                    log::info!("new requests are accepted: {accepts_requests}");
                    self.views.admission.send_replace(Arc::new(Admission { accepts_requests }));
                }
            }
        }
    }

    fn decide_sync(&mut self, event: sync::Event) {
        for action in self.sync.decide(event, self.cx.now()) {
            match action {
                sync::Action::SetWatch(watches) => self.set_watch(watches),
                sync::Action::Announce(revision) => self.announce(revision),
                sync::Action::Pull { owner, revision } => {
                    self.decide_active_catalog(active_catalog::Event::PeerRevision {
                        peer: owner,
                        revision,
                    });
                }
            }
        }
    }

    fn activate(&mut self, catalog: Arc<Catalog>, source: &Source) {
        let revision = catalog.revision;
        debug_assert!(revision >= self.views.catalog.borrow().revision, "revisions never fall");
        self.views.catalog.send_replace(catalog);
        self.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        let source: Box<str> = match source {
            Source::Kv => "kv".into(),
            Source::Peer(peer) => peer.clone(),
        };
        log::info!("revision {revision} is in force, from {source}");
        self.cx.record(Event::InForce { revision, source });
        self.send_to_membership(MemberMessage::ActiveRevision(revision));
        self.decide_sync(sync::Event::InForce(revision));
    }

    fn announce(&self, revision: Revision) {
        self.send_to_membership(MemberMessage::Publish(Fact {
            key: FactKey::Revision,
            owner: self.cx.node().clone(),
            version: revision,
            lifetime: REVISION_LIFETIME,
            body: Box::default(),
        }));
    }

    fn send_to_membership(&self, message: MemberMessage) {
        if self.member.try_send(message).is_err() {
            log::warn!(
                "membership's mailbox is full; gossip keeps reporting an older revision of this \
                 process"
            );
        }
    }

    fn pull(&self, peer: NodeId, from: Revision) {
        self.spawn(move |_, client| async move {
            let pulled = client.pull(&peer, from).await;
            if let Err(error) = &pulled {
                log::info!("pull of the revisions after {from} failed: {error}");
            }
            Some(Outcome::ActiveCatalog(active_catalog::Event::PullCompleted {
                peer,
                update: pulled.ok(),
            }))
        });
    }

    fn read(&self) {
        self.spawn(|store, _| async move { Some(Outcome::Read(read(&*store).await)) });
    }

    /// Runs a call in a task of its own; its outcome arrives in the channel of call outcomes.
    fn spawn<F>(&self, call: impl FnOnce(Arc<dyn Store>, PeerClient) -> F)
    where
        F: Future<Output = Option<Outcome>> + Send + 'static,
    {
        let call = call(self.store.clone(), self.client.clone());
        let (outcomes, stop) = (self.outcomes.clone(), self.cx.stop_token());
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            if let Some(outcome) = call.await {
                // The receiver is gone only if the service has ended.
                let _ = outcomes.send(outcome).await;
            }
        }));
    }

    fn set_watch(&mut self, watches: bool) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        if watches {
            let (store, outcomes) = (self.store.clone(), self.outcomes.clone());
            let task = follow(store, outcomes);
            let task = tokio::spawn(self.cx.stop_token().run_until_cancelled_owned(task));
            self.watch = Some(task.abort_handle());
        }
        self.metrics.config_watches.set(i64::from(watches));
    }
}

async fn read(store: &dyn Store) -> Result<Arc<Catalog>, KvError> {
    match store.get(CATALOG_KEY).await? {
        Some(found) => decode(&found.value),
        None => Ok(Arc::default()),
    }
}

fn decode(bytes: &[u8]) -> Result<Arc<Catalog>, KvError> {
    serde_json::from_slice(bytes).map(Arc::new).map_err(|error| KvError::Malformed {
        key: CATALOG_KEY.into(),
        problem: error.to_string().into(),
    })
}

/// Reads the catalog from the key-value service and watches it; starts over whenever the watch
/// ends.
async fn follow(store: Arc<dyn Store>, outcomes: mpsc::Sender<Outcome>) {
    loop {
        if let Err(error) = read_and_watch(&*store, &outcomes).await {
            log::warn!("watch of key `{CATALOG_KEY}`: {error}");
        }
        let delay = rand::rng().random_range(RETRY_DELAY_MS);
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
}

async fn read_and_watch(
    store: &dyn Store,
    outcomes: &mpsc::Sender<Outcome>,
) -> Result<(), KvError> {
    let mut seen = 0;
    if let Some(found) = store.get(CATALOG_KEY).await? {
        seen = found.mod_revision;
        report(&found.value, outcomes).await;
    }
    let mut changes = store.watch(CATALOG_KEY, seen).await?;
    while let Some(watched) = changes.recv().await {
        let Some(change) = watched.change() else { continue };
        if let Some(value) = change.value.filter(|_| &*change.key == CATALOG_KEY) {
            report(&value.value, outcomes).await;
        }
    }
    Ok(())
}

async fn report(bytes: &[u8], outcomes: &mpsc::Sender<Outcome>) {
    match decode(bytes) {
        Ok(catalog) => drop(outcomes.send(Outcome::Read(Ok(catalog))).await),
        Err(error) => log::error!("{error}; the revision in force is kept"),
    }
}
