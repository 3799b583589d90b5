//! Seed addresses in the key-value service, for processes whose settings name no seed that is still
//! reachable.
//!
//! One record holds the gossip addresses of a few members. Its owner by rendezvous hashing reads it
//! periodically, and writes it only if one of the addresses no longer belongs to a live member or
//! if addresses are missing. A process that knows no other process reads the record, and adds its
//! own address if no process in the record answers. So the record needs no lease, and no writes by
//! each process while the processes know each other. The record is a hint: a lost or repeated write
//! does no harm.

use std::net::SocketAddr;
use std::sync::Arc;

use base::hash;
use base::prelude::*;
use kernel::prelude::*;
use kv::prelude::*;
use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::announce::Addresses;
use crate::member::MemberMessage;
use crate::member::MembershipView;
use crate::names;

/// Key of the record.
pub const SEEDS_KEY: &str = "samphire/seeds";
/// Maximum number of addresses in the record.
const MAX_SEEDS: usize = 8;
/// Minimum time between two reads of the record by its owner; random up to twice that.
const CHECK_PERIOD: Duration = Duration::from_secs(30);
/// Minimum time between two reads of the record by a process that knows no other; random up to
/// twice that.
const ISOLATED_PERIOD: Duration = Duration::from_secs(3);

/// The record.
#[wire]
#[derive(Default)]
pub struct SeedRecord {
    /// Gossip addresses of members.
    pub addresses: Vec<SocketAddr>,
}

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::SEEDS, &[names::STORE, names::MEMBER], |cx| async move {
        let addresses: Addresses = cx.registry().lookup(names::PROCESS)?;
        let listening = addresses.list();
        let gossip = listening.iter().find(|entry| entry.name == "gossip");
        cx.ready();
        let Some(gossip) = gossip.map(|entry| entry.address) else {
            cx.stopping().await;
            return Ok(());
        };
        let maintainer = SeedMaintainer {
            store: cx.registry().lookup(names::STORE)?,
            members: cx.subscribe(names::MEMBER)?,
            member: cx.sender(names::MEMBER)?,
            gossip,
            cx: cx.clone(),
        };
        tokio::select! {
            () = maintainer.run() => {}
            () = cx.stopping() => {}
        }
        Ok(())
    })
}

struct SeedMaintainer {
    cx: Context,
    store: Arc<dyn Store>,
    members: watch::Receiver<Arc<MembershipView>>,
    member: mpsc::Sender<MemberMessage>,
    gossip: SocketAddr,
}

impl SeedMaintainer {
    async fn run(&self) {
        let mut isolated_checks = 0;
        loop {
            let view = self.members.borrow().clone();
            let me = &**self.cx.node();
            let is_isolated = view.live().next().is_none();
            isolated_checks = if is_isolated { isolated_checks + 1 } else { 0 };
            let checked = if is_isolated {
                self.find_others(isolated_checks > 1).await
            } else if view.owner(SEEDS_KEY, me) == me {
                self.refresh_record(&view).await
            } else {
                Ok(())
            };
            if let Err(error) = checked {
                log::info!("key `{SEEDS_KEY}`: {error}");
            }
            let period = if is_isolated { ISOLATED_PERIOD } else { CHECK_PERIOD };
            let pause = period.mul_f64(rand::rng().random_range(1.0..2.0));
            tokio::time::sleep(pause).await;
        }
    }

    /// Passes the addresses of the record to membership as seeds. If an earlier attempt has found
    /// no other process, or if the record is empty, adds this process to the record.
    async fn find_others(&self, has_failed: bool) -> Result<(), KvError> {
        let (mut record, expected) = self.read().await?;
        // If the mailbox is full, the next read tries again.
        let _ = self.member.try_send(MemberMessage::Seeds(record.addresses.clone()));
        let is_missing = !record.addresses.contains(&self.gossip);
        if is_missing && (has_failed || record.addresses.is_empty()) {
            record.addresses.insert(0, self.gossip);
            record.addresses.truncate(MAX_SEEDS);
            self.write(&record, expected).await?;
        }
        Ok(())
    }

    /// Rewrites the record if [`updated_record`](Self::updated_record) has a new one.
    async fn refresh_record(&self, view: &MembershipView) -> Result<(), KvError> {
        let (record, expected) = self.read().await?;
        match self.updated_record(view, &record) {
            Some(updated_record) => self.write(&updated_record, expected).await,
            None => Ok(()),
        }
    }

    async fn read(&self) -> Result<(SeedRecord, u64), KvError> {
        let Some(found) = self.store.get(SEEDS_KEY).await? else {
            return Ok((SeedRecord::default(), 0));
        };
        let record = serde_json::from_slice(&found.value).unwrap_or_default();
        Ok((record, found.mod_revision))
    }

    /// Writes the record unless another process has written it since it was read; the next read
    /// gets that one.
    async fn write(&self, record: &SeedRecord, expected: u64) -> Result<(), KvError> {
        let bytes = serde_json::to_vec(record).expect("the record has a JSON form");
        self.store.compare_and_swap(SEEDS_KEY, expected, bytes.into()).await.map(drop)
    }

    /// Returns the record to write if `record` has an address that belongs to no live member, or
    /// has fewer addresses than the live members allow; `None` if it can stay.
    fn updated_record(&self, view: &MembershipView, record: &SeedRecord) -> Option<SeedRecord> {
        let me = (&**self.cx.node(), self.gossip);
        let live = view.live().map(|member| (&*member.name, member.gossip)).chain([me]);
        let live: Vec<(&str, SocketAddr)> = live.collect();
        let all_live =
            record.addresses.iter().all(|address| live.iter().any(|(_, at)| at == address));
        if all_live && record.addresses.len() >= MAX_SEEDS.min(live.len()) {
            return None;
        }
        let names = live.iter().map(|(name, _)| *name);
        let chosen = hash::owners(SEEDS_KEY, names, MAX_SEEDS);
        let address = |name: &&str| live.iter().find(|(other, _)| other == name).map(|(_, at)| *at);
        Some(SeedRecord { addresses: chosen.iter().filter_map(address).collect() })
    }
}
