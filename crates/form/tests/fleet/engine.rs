//! One simulated engine, which carries orders out as the platform's pages describe.

use base::prelude::*;
use form::observed_groups::GroupKey;
use form::prelude::*;

use super::SERVICE;

/// The actual state of one engine.
pub(crate) struct Engine {
    /// The report that it would make now.
    pub(crate) server: Server,
    /// Whether it is running.
    pub(crate) alive: bool,
    /// Whether its reports reach the store.
    pub(crate) reports: bool,
    /// Whether it listens; a draining engine stops listening before it stops serving.
    pub(crate) listens: bool,
    /// Whether the owner can reach it.
    pub(crate) reachable: bool,
    /// How late it carries orders out, if it leaves them unanswered.
    pub(crate) order_delay: Option<Duration>,
    /// How long the requests take that it runs when it is told to close.
    pub(crate) closing_time: Duration,
    /// Whether it was told to leave while it finished its requests.
    pub(crate) has_aborted: bool,
    pub(super) highest_epoch: u64,
    pub(super) highest_fencing_token: u64,
    pub(super) joining_until: Mono,
    pub(super) opening_until: Option<Mono>,
    pub(super) closing_until: Option<Mono>,
    pub(super) staging: Option<(ModelId, Mono)>,
    pub(super) members: Vec<ServerId>,
    pub(super) unreported_since: Option<Mono>,
    pub(super) last_model: Option<ModelId>,
}

impl Engine {
    pub(super) fn new(id: &str, started_at_ms: u64) -> Self {
        let server = Server {
            id: id.into(),
            started_at_ms,
            report_number: 0,
            service: SERVICE.into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "a".into(),
            fabric: Some("f".into()),
            slots: 26,
            state: ServerState::Ready,
            warmup_remaining: Duration::ZERO,
            model: None,
            staged_models: Vec::new(),
            membership: None,
        };
        Engine {
            server,
            alive: true,
            reports: true,
            reachable: true,
            listens: true,
            order_delay: None,
            closing_time: Duration::ZERO,
            has_aborted: false,
            highest_epoch: 0,
            highest_fencing_token: 0,
            joining_until: Duration::ZERO,
            opening_until: None,
            closing_until: None,
            staging: None,
            members: Vec::new(),
            unreported_since: None,
            last_model: None,
        }
    }

    pub(super) fn set_phase(&mut self, phase: Phase) {
        if let Some(membership) = &mut self.server.membership {
            membership.phase = phase;
        }
    }

    pub(super) fn group_key(&self) -> Option<GroupKey> {
        let membership = self.server.membership.as_ref();
        membership.map(|membership| (membership.group.clone(), membership.epoch))
    }

    pub(super) fn phase(&self) -> Option<Phase> {
        self.server.membership.as_ref().map(|membership| membership.phase)
    }

    pub(super) fn advance(&mut self, now: Mono) {
        if let Some((model, _)) = self.staging.take_if(|(_, until)| *until <= now) {
            self.server.staged_models = vec![model];
        }
        if self.phase() == Some(Phase::Joining) && now >= self.joining_until {
            self.set_phase(Phase::Ready);
            self.server.model.clone_from(&self.last_model);
        }
        if self.opening_until.take_if(|until| *until <= now).is_some() {
            self.set_phase(Phase::Open);
        }
        if self.closing_until.take_if(|until| *until <= now).is_some() {
            self.set_phase(Phase::Ready);
        }
    }

    /// Carries out an order, unless the engine has seen a newer fencing token.
    pub(super) fn take_order(
        &mut self,
        command: &Command,
        spec: &EngineSpec,
        before_traffic: bool,
        now: Mono,
    ) -> Reply {
        if command.fencing_token < self.highest_fencing_token {
            return Reply::Fenced;
        }
        self.highest_fencing_token = command.fencing_token;
        let before = (self.server.membership.clone(), self.opening_until, self.staging.clone());
        let reply = self.execute(&command.order, spec, before_traffic, now);
        let after = (self.server.membership.clone(), self.opening_until, self.staging.clone());
        self.server.report_number += u64::from(before != after);
        reply
    }

    fn execute(
        &mut self,
        order: &Order,
        spec: &EngineSpec,
        before_traffic: bool,
        now: Mono,
    ) -> Reply {
        match order {
            Order::Join { group, epoch, model, members } => {
                self.join(group, *epoch, model, members, spec, before_traffic, now)
            }
            Order::Open { group, epoch } => self.open(group, *epoch, spec, now),
            Order::Close { group, epoch } if self.server.membership_in(group, *epoch).is_some() => {
                self.opening_until = None;
                if self.closing_time.is_zero() {
                    self.set_phase(Phase::Ready);
                    return Reply::Done;
                }
                self.closing_until.get_or_insert(now + self.closing_time);
                self.set_phase(Phase::Closing);
                Reply::Begun
            }
            Order::Leave { group, epoch } if self.server.membership_in(group, *epoch).is_some() => {
                self.opening_until = None;
                self.has_aborted |= self.closing_until.take().is_some();
                self.server.membership = None;
                Reply::Done
            }
            Order::Confirm { group } if *group != self.group_key() => Reply::Rejected,
            Order::Close { .. } | Order::Leave { .. } | Order::Probe | Order::Confirm { .. } => {
                Reply::Done
            }
            Order::Stage { model } => {
                let load = spec.model(model).expect("a model").store_load_time;
                let load = if before_traffic { load / 10 } else { load };
                self.staging = Some((model.clone(), now + load));
                Reply::Begun
            }
        }
    }

    fn open(&mut self, group: &str, epoch: u64, spec: &EngineSpec, now: Mono) -> Reply {
        let Some(membership) = self.server.membership_in(group, epoch) else {
            return Reply::Rejected;
        };
        match membership.phase {
            Phase::Open => Reply::Done,
            Phase::Ready if membership.rank == 0 => {
                self.opening_until = Some(now + spec.open_time);
                Reply::Begun
            }
            _ => Reply::Rejected,
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one order")]
    fn join(
        &mut self,
        group: &str,
        epoch: u64,
        model: &ModelId,
        members: &[ServerId],
        spec: &EngineSpec,
        before_traffic: bool,
        now: Mono,
    ) -> Reply {
        if epoch < self.highest_epoch {
            return Reply::Fenced;
        }
        if let Some(membership) = self.server.membership_in(group, epoch) {
            if self.members != members {
                return Reply::Fenced;
            }
            let joined = membership.phase != Phase::Joining;
            return if joined { Reply::Done } else { Reply::Begun };
        }
        let spec = spec.model(model).expect("a model");
        let time = match (
            self.last_model.as_ref() == Some(model),
            self.server.staged_models.contains(model),
        ) {
            (true, _) => Duration::from_millis(200),
            (_, true) => spec.host_load_time,
            _ if before_traffic => spec.store_load_time / 10,
            _ => spec.store_load_time,
        };
        self.highest_epoch = epoch;
        self.opening_until = None;
        self.joining_until = now + time;
        self.last_model = Some(model.clone());
        self.members = members.to_vec();
        let rank = members.iter().position(|id| *id == self.server.id).expect("a member");
        let group = group.into();
        self.server.membership = Some(Membership { group, epoch, rank, phase: Phase::Joining });
        Reply::Begun
    }
}
