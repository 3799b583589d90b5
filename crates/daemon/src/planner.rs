//! Plans the placement and the repair of replica groups.
//!
//! Only the owner of `OWNER_KEY` by rendezvous hashing plans. Every `PLAN_PERIOD` it reads all
//! records in one call, computes a plan from them and from the VM report of its group controllers,
//! and writes each changed record by compare-and-swap on the revision that it read. So a plan is
//! never based on an older record than the one that it replaces. A write with an unknown outcome
//! needs no handling, because the next plan starts from the stored records.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::prelude::*;
use config::settings::Settings;
use group::prelude::*;
use group::size;
use kernel::prelude::*;
use kv::prelude::*;
use plan::prelude::PlanSettings;
use plan::prelude::Scratch;
use plan::prelude::plan;
use spec::prelude::Catalog;
use tokio::sync::watch;

use crate::keeper::VmReport;
use crate::member::MembershipView;
use crate::names;

/// Time between two plans.
const PLAN_PERIOD: Duration = Duration::from_secs(1);
/// Time from the start of the process to its first plan, in which the group controllers probe the
/// VMs.
const FIRST_PLAN_DELAY: Duration = Duration::from_secs(3);
/// Time that an engine needs to start, in addition to the transfer of its weights.
const ENGINE_START: Duration = Duration::from_secs(5);
/// The rendezvous hashing key whose owner plans.
const OWNER_KEY: &str = "planner";

const NEEDS: &[ServiceName] = &[names::STORE, names::MEMBER, names::CATALOG, names::GROUPS];

/// Returns the service.
pub fn service() -> Service {
    Service::new(names::PLANNER, NEEDS, |cx| async move {
        let mut planner = Planner::new(&cx)?;
        let mut ticks = cx.every(PLAN_PERIOD);
        cx.ready();
        loop {
            tokio::select! {
                () = ticks.tick() => {}
                () = cx.stopping() => return Ok(()),
            }
            if cx.now() < FIRST_PLAN_DELAY || !planner.is_owner() || cx.is_process_stopping() {
                continue;
            }
            if let Err(error) = planner.plan_once().await {
                log::debug!("the plan was not computed or not written: {error}");
            }
        }
    })
}

struct Planner {
    cx: Context,
    store: Arc<dyn Store>,
    catalog: watch::Receiver<Arc<Catalog>>,
    vms: watch::Receiver<Arc<VmReport>>,
    members: watch::Receiver<Arc<MembershipView>>,
    loads: LoadTimeModel,
    settings: PlanSettings,
    scratch: Scratch,
}

/// The records with the revisions of their last writes.
#[derive(Default)]
struct Records {
    records: BTreeMap<FabricId, FabricRecord>,
    revisions: BTreeMap<FabricId, u64>,
}

impl Planner {
    fn new(cx: &Context) -> Result<Self, ServiceError> {
        let settings: Arc<Settings> = cx.registry().lookup(names::PROCESS)?;
        let rate = settings.group_controller.weights_bytes_per_second;
        Ok(Planner {
            store: cx.registry().lookup(names::STORE)?,
            catalog: cx.subscribe(names::CATALOG)?,
            vms: cx.subscribe(names::GROUPS)?,
            members: cx.subscribe(names::MEMBER)?,
            loads: LoadTimeModel {
                store_bytes_per_second: rate,
                engine_bytes_per_second: rate,
                engine_start: ENGINE_START,
            },
            settings: PlanSettings::default(),
            scratch: Scratch::default(),
            cx: cx.clone(),
        })
    }

    fn is_owner(&self) -> bool {
        let me = &**self.cx.node();
        self.members.borrow().owner(OWNER_KEY, me) == me
    }

    async fn plan_once(&mut self) -> Result<(), KvError> {
        let catalog = self.catalog.borrow().clone();
        if catalog.revision == 0 {
            return Ok(());
        }
        let stored = self.read().await?;
        let vms = self.vms.borrow().clone();
        let inputs = PlannerInputs {
            catalog: &catalog,
            records: &stored.records,
            vms: &vms.vms,
            loads: &self.loads,
        };
        let now = self.cx.now();
        let bridge = PlannerBridge::new(&inputs, now);
        let commands = plan(bridge.cluster(), &self.settings, now, &mut self.scratch);
        for transitions in bridge.transitions(&commands) {
            self.write(&stored, &transitions).await?;
        }
        Ok(())
    }

    async fn read(&self) -> Result<Records, KvError> {
        let mut stored = Records::default();
        for (key, value) in self.store.list(size::RECORD_PREFIX).await?.rows {
            match FabricRecord::try_from(&*value.value) {
                Ok(record) => {
                    stored.revisions.insert(record.fabric.clone(), value.mod_revision);
                    stored.records.insert(record.fabric.clone(), record);
                }
                Err(findings) => {
                    let problem = findings.to_string().into();
                    return Err(KvError::Malformed { key, problem });
                }
            }
        }
        Ok(stored)
    }

    async fn write(
        &self,
        stored: &Records,
        transitions: &FabricTransitions,
    ) -> Result<(), KvError> {
        let fabric = &transitions.fabric;
        let current = stored.records.get(fabric).cloned();
        let mut record = current.unwrap_or_else(|| FabricRecord::empty(fabric.clone()));
        let write_id = random_id();
        for transition in &transitions.transitions {
            match apply(&record, transition, write_id) {
                Ok(next) => record = next,
                Err(findings) => {
                    log::error!("fabric domain `{fabric}`: {transition:?}: {findings}");
                    return Ok(());
                }
            }
        }
        let expected = stored.revisions.get(fabric).copied().unwrap_or(0);
        let key = size::record_key(fabric, 0);
        let outcome = self.store.compare_and_swap(&key, expected, record.to_text().into()).await?;
        match outcome {
            CasResult::Done { .. } => {
                log::info!("fabric domain `{fabric}`: {:?}", transitions.transitions)
            }
            CasResult::Conflict { .. } => log::debug!(
                "fabric domain `{fabric}`: its record was changed by another process; the plan \
                 was not written"
            ),
        }
        Ok(())
    }
}
