//! A simulated engine of a backend server.

use base::prelude::*;

use crate::fence;
use crate::order::Order;
use crate::order::OrderMessage;
use crate::order::OrderOutcome;
use crate::probe::Assignment;
use crate::probe::Load;
use crate::probe::ProbeAnswer;

/// An engine that accepts orders and answers probes.
#[data]
pub struct Engine {
    /// The boot id of its current instance.
    pub boot: BootId,
    /// Whether it is running.
    pub alive: bool,
    /// Whether it is paused: messages to it are queued.
    pub paused: bool,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether it announces that it is leaving.
    pub leaving: bool,
    /// Its assignment.
    pub held: Option<Assignment>,
    /// When its weights finish loading.
    pub loaded_at: Mono,
    /// Number of running requests.
    pub running: u32,
}

impl Engine {
    /// Returns an engine that has just started.
    pub fn new(boot: BootId, checks_fencing: bool) -> Self {
        Engine {
            boot,
            alive: true,
            paused: false,
            checks_fencing,
            leaving: false,
            held: None,
            loaded_at: Mono::ZERO,
            running: 0,
        }
    }

    /// Restarts the engine, without an assignment.
    pub fn restart(&mut self) {
        *self = Engine::new(self.boot + 1000, self.checks_fencing);
    }

    /// Restarts the engine, which still claims the assignment of its earlier instance.
    pub fn restart_remembering(&mut self) {
        let held = self.held.take();
        self.restart();
        self.held = held;
    }

    /// Answers a probe.
    pub fn answer(&self, now: Mono) -> ProbeAnswer {
        ProbeAnswer {
            boot: self.boot,
            assignment: self.held.clone(),
            ready: self.held.is_some() && now >= self.loaded_at,
            leaving: self.leaving,
            load: Load { queued: 0, running: self.running },
        }
    }

    /// Executes an order; weights that are not loaded yet take `load_time`.
    pub fn take(&mut self, message: &OrderMessage, load_time: Duration, now: Mono) -> OrderOutcome {
        let held = self.held.as_ref().map_or(0, |held| held.generation);
        if !fence::engine_accepts(held, message.generation, self.checks_fencing) {
            return OrderOutcome::Fenced;
        }
        match &message.order {
            Order::Load { version, rank, adapters, .. } => {
                let same = self.held.as_ref().is_some_and(|held| {
                    held.group == message.group
                        && held.rank == *rank
                        && held.version.as_ref() == Some(version)
                });
                if !same {
                    self.loaded_at = now + load_time;
                }
                self.held = Some(Assignment {
                    group: message.group.clone(),
                    generation: message.generation,
                    rank: *rank,
                    version: Some(version.clone()),
                    adapters: adapters.clone(),
                });
            }
            Order::Release => self.held = None,
        }
        OrderOutcome::Done
    }

    /// Returns whether the engine instance `boot` is running as rank `rank` of `group` at
    /// `generation`.
    pub fn is_there(&self, boot: BootId, group: &str, generation: Generation, rank: u32) -> bool {
        let holds = self.held.as_ref().is_some_and(|held| {
            &*held.group == group && held.generation == generation && held.rank == rank
        });
        self.alive && !self.paused && self.boot == boot && holds
    }
}
