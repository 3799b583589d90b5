//! What happens to the processes of a simulated fleet.

use super::*;

impl Fleet<'_> {
    pub(super) fn trouble(&mut self, trouble: &Trouble) {
        let domain = match trouble {
            Trouble::Freeze(at, length) => {
                return self.freeze(*at % self.processes.len(), *length);
            }
            Trouble::KillHub(domain)
            | Trouble::ReplaceHub(domain)
            | Trouble::FreezeHub(domain, _)
            | Trouble::CutHub(domain, _) => *domain % self.scenario.domains,
        };
        let Some(at) = self.hub(domain) else { return };
        let (now, address) = (self.now, self.processes[at].address);
        match trouble {
            Trouble::Freeze(..) => {}
            Trouble::FreezeHub(_, length) => self.freeze(at, *length),
            Trouble::CutHub(_, length) => {
                self.processes[at].cut_until = now + *length;
                self.processes[at].disturbed_at = Some(now + *length);
            }
            Trouble::KillHub(_) => {
                let start = self.processes[at].start;
                self.end(at, start);
                self.after(LEASE, Event::Lapse { domain, address });
                self.after(REPLACED_AFTER, Event::Start { at, is_new: false });
            }
            Trouble::ReplaceHub(_) => {
                let process = &mut self.processes[at];
                process.is_hub = false;
                process.disturbed_at = Some(now);
                let start = process.start;
                self.lapse(domain, address);
                self.after(STOP_TIME, Event::End { at, start });
                self.after(STOP_TIME + REPLACED_AFTER, Event::Start { at, is_new: true });
            }
        }
    }

    pub(super) fn freeze(&mut self, at: usize, length: Duration) {
        self.processes[at].machine.frozen_until = self.now + length;
        self.processes[at].disturbed_at = Some(self.now + length);
    }

    /// The lock of a hub ends.
    pub(super) fn lapse(&mut self, domain: usize, address: SocketAddr) {
        let key = format!("hub/{domain}");
        let is_held = |value: &Versioned| *value.value == *address.to_string().as_bytes();
        if self.store.get(&key).is_some_and(is_held) {
            self.store.delete(&key);
            self.after(ELECTION_TIME, Event::Elect(domain));
        }
    }

    pub(super) fn elect(&mut self, domain: usize) {
        let key = format!("hub/{domain}");
        if self.store.get(&key).is_some() {
            return;
        }
        let now = self.now;
        let is_fit = |process: &&mut Process| {
            process.is_alive
                && process.domain == domain
                && process.cut_until <= now
                && process.machine.frozen_until <= now
                && process.disturbed_at.is_none_or(|at| at + SETTLING < now)
        };
        let fit = self.processes.iter_mut().filter(is_fit);
        let best = fit.max_by(|a, b| a.machine.share.total_cmp(&b.machine.share));
        match best {
            Some(process) => {
                process.is_hub = true;
                self.store.put(&key, process.address.to_string().as_bytes());
            }
            None => self.after(ELECTION_TIME, Event::Elect(domain)),
        }
    }

    pub(super) fn end(&mut self, at: usize, start: u64) {
        let process = &mut self.processes[at];
        if process.start == start {
            process.is_alive = false;
            process.is_hub = false;
            process.start += 1;
            process.watch += 1;
        }
    }

    pub(super) fn start(&mut self, at: usize, is_new: bool) {
        let address = if is_new { self.address() } else { self.processes[at].address };
        let old = &self.processes[at];
        let (machine, start, watch) = (old.machine.clone(), old.start + 1, old.watch + 1);
        let mut process = self.process(self.processes[at].domain);
        process.feed = Feed::new(machine.link_bytes_per_second);
        process.disturbed_at = Some(self.now);
        (process.address, process.machine) = (address, machine);
        process.machine.frozen_until = Mono::ZERO;
        (process.start, process.watch) = (start, watch);
        // It has asked the store for the hubs.
        for row in self.store.list().iter().filter(|row| row.key.starts_with("hub/")) {
            process.cache.apply(&row.key, row.value.clone(), row.revision);
        }
        self.processes[at] = process;
        self.begin(at);
    }
}
