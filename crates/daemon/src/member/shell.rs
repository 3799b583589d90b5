//! Input and output of the membership state machine: socket, clock, shared secrets and views.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;

use base::prelude::*;
use config::prelude::*;
use kernel::prelude::*;
use member::prelude::Action;
use member::prelude::DropReason;
use member::prelude::Event as Input;
use member::prelude::Identity;
use member::prelude::Location;
use member::prelude::Seal;
use member::prelude::Settings as Periods;
use member::prelude::State;
use member::prelude::decide;
use member::settings::MAX_DATAGRAM_BYTES;
use member::settings::TICK;
use tokio::net::UdpSocket;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;

use super::Facts;
use super::MemberMessage;
use super::MemberView;
use super::MembershipView;
use super::PeerContact;
use crate::announce::Addresses;
use crate::metrics::Metrics;
use crate::names;

/// Size of the receive buffer; larger than an allowed datagram, so that an oversized one is
/// detected as such.
const BUF_BYTES: usize = MAX_DATAGRAM_BYTES * 2;

/// The views published to other services.
pub(super) struct Views {
    pub(super) members: watch::Sender<Arc<MembershipView>>,
    pub(super) facts: watch::Sender<Arc<Facts>>,
}

/// The running service.
pub(super) struct Shell {
    cx: Context,
    metrics: Metrics,
    socket: UdpSocket,
    seal: Seal,
    state: State,
    /// The seeds of the settings.
    seeds: Vec<SocketAddr>,
    views: Views,
    contacts: broadcast::Sender<PeerContact>,
    /// Whether the published members are older than the state.
    members_changed: bool,
    /// Whether the published facts are older than the state.
    facts_changed: bool,
}

impl Shell {
    pub(super) async fn open(
        cx: &Context,
        settings: &Settings,
        metrics: Metrics,
        views: Views,
        contacts: broadcast::Sender<PeerContact>,
    ) -> Result<Self, ServiceError> {
        let at = settings.listen.gossip;
        let fault = |error: std::io::Error| ServiceError::new(at.to_string(), error);
        let socket = UdpSocket::bind(at).await.map_err(fault)?;
        let local = socket.local_addr().map_err(fault)?;
        let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
        addresses.add("gossip", local);
        let listening = addresses.list();
        let peer = listening.iter().find(|listening| listening.name == names::PEER);
        let peer = peer.map_or(settings.listen.peer, |listening| listening.address);
        let location = Location {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            gossip: local,
            peer,
        };
        let (name, boot) = (cx.node().clone(), cx.boot());
        let me = Identity { name, boot, incarnation: wall_millis(), location };
        let seeds = settings.peers.seeds.clone();
        Ok(Shell {
            cx: cx.clone(),
            metrics,
            socket,
            seal: seal(settings)?,
            state: State::new(Periods::default(), me, seeds.clone(), cx.boot()),
            seeds,
            views,
            contacts,
            members_changed: false,
            facts_changed: false,
        })
    }

    pub(super) async fn run(mut self, mut inbox: mpsc::Receiver<MemberMessage>) {
        let cx = self.cx.clone();
        let mut ticks = cx.every(TICK);
        let mut buf = vec![0; BUF_BYTES];
        let mut is_leaving = false;
        loop {
            tokio::select! {
                () = ticks.tick() => {
                    self.decide_and_act(Input::Tick).await;
                    self.publish();
                }
                received = self.socket.recv_from(&mut buf) => match received {
                    Ok((len, from)) => self.receive(from, &buf[..len]).await,
                    // An earlier datagram was sent to a closed port. The UDP socket stays usable.
                    Err(error) => log::debug!("gossip: {error}"),
                },
                message = inbox.recv() => match message {
                    Some(MemberMessage::Publish(fact)) => self.publish_fact(fact).await,
                    Some(MemberMessage::ActiveRevision(revision)) => {
                        self.decide_and_act(Input::InForce(revision)).await;
                    }
                    Some(MemberMessage::Seeds(more)) => {
                        let seeds = self.seeds.iter().chain(&more).copied().collect();
                        self.decide_and_act(Input::Seeds(seeds)).await;
                    }
                    None => return,
                },
                () = cx.process_stopping(), if !is_leaving => {
                    is_leaving = true;
                    self.decide_and_act(Input::Leave).await;
                }
                () = cx.stopping() => return,
            }
        }
    }

    async fn publish_fact(&mut self, fact: member::prelude::Fact) {
        let findings = fact.check();
        if findings.is_empty() {
            self.decide_and_act(Input::Publish(fact)).await;
        } else {
            log::error!("a fact is not valid and was not published: {findings}");
        }
    }

    async fn receive(&mut self, from: SocketAddr, datagram: &[u8]) {
        match self.seal.open(datagram) {
            Ok(packet) => {
                let contact =
                    PeerContact { peer: packet.sender.name.clone(), revision: packet.revision };
                let before = self.revision_of(&contact.peer);
                self.decide_and_act(Input::Received { from, packet: Box::new(packet) }).await;
                self.members_changed |= self.revision_of(&contact.peer) != before;
                if contact.peer != self.state.me().name {
                    // Sending fails if there are no subscribers.
                    let _ = self.contacts.send(contact);
                }
            }
            Err(refusal) => self.refuse(from, refusal),
        }
    }

    fn refuse(&self, from: SocketAddr, refusal: DropReason) {
        self.metrics.refusals.with_label_values(&["gossip", refusal.name()]).inc();
        log::debug!("gossip: a datagram from {from} was dropped: {refusal}");
    }

    async fn decide_and_act(&mut self, input: Input) {
        let now = self.cx.now();
        for action in decide(&mut self.state, input, now) {
            self.carry_out(action).await;
        }
    }

    async fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { to, packet } => {
                let datagram = self.seal.seal(&packet);
                if let Err(error) = self.socket.send_to(&datagram, to).await {
                    log::debug!("gossip to {to}: {error}");
                }
            }
            Action::Member { record } => {
                let state = record.status.name();
                log::info!(
                    "process `{}` (boot {:x}) is {state}",
                    record.name,
                    record.instance.boot
                );
                self.cx.record(Event::Member { member: record.name, state: state.into() });
                self.members_changed = true;
            }
            Action::FactUpdated(fact) => {
                log::debug!("fact {:?} has version {}", fact.key, fact.version);
                self.facts_changed = true;
                self.publish();
            }
            Action::Paused { gap } => log::warn!("this process was paused for {gap:?}"),
            Action::NameConflict { boot } => {
                log::warn!("another process instance (boot {boot:x}) has the name of this process");
            }
        }
    }

    /// Publishes what has changed.
    fn publish(&mut self) {
        if std::mem::take(&mut self.members_changed) {
            let members = self.state.peers().map(member_view).collect();
            self.views.members.send_replace(Arc::new(MembershipView { members }));
        }
        let has_expired = self.views.facts.borrow().facts.len() != self.state.facts().count();
        if std::mem::take(&mut self.facts_changed) || has_expired {
            let facts = self.state.facts().cloned().collect();
            self.views.facts.send_replace(Arc::new(Facts { facts }));
        }
    }

    fn revision_of(&self, peer: &str) -> Revision {
        self.state.peer(peer).map_or(0, |peer| peer.revision)
    }
}

fn member_view((name, peer): (&NodeId, &member::prelude::Peer)) -> MemberView {
    MemberView {
        name: name.clone(),
        boot: peer.instance.boot,
        status: peer.status,
        region: peer.location.region.clone(),
        failure_domain: peer.location.failure_domain.clone(),
        gossip: peer.location.gossip,
        peer: peer.location.peer,
        revision: peer.revision,
    }
}

fn seal(settings: &Settings) -> Result<Seal, ServiceError> {
    let secrets = &settings.peers.secrets;
    let secrets: Vec<&[u8]> = secrets.iter().map(|secret| secret.expose().as_bytes()).collect();
    Seal::try_from(&*secrets).map_err(|findings| ServiceError::new("$.peers.secrets", findings))
}

fn wall_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or_default()
}
