//! Calls of the processes of a simulated fleet to hubs.

use super::*;

impl Fleet<'_> {
    pub(super) fn call(&mut self, at: usize, start: u64, rank: usize) {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        if process.is_hub {
            // A hub asks others only while its own rows are stale.
            if is_fresh(process.cache.age(self.now)) {
                return self.after(MIN_INTERVAL, Event::Call { at, start, rank: 0 });
            }
        }
        let sent_at = process.machine.work(MESSAGE_BYTES, self.now);
        let own = format!("hub/{}", process.domain);
        let rows = process.cache.with_prefix("hub/");
        let mut hubs: Vec<(bool, SocketAddr)> = rows
            .map(|(key, row)| (key != own, String::from_utf8_lossy(&row.value).parse()))
            .filter_map(|(is_other, address)| Some((is_other, address.ok()?)))
            .filter(|(_, address)| *address != process.address)
            .filter(|(_, address)| process.hub_follower.may_call(*address, now))
            .collect();
        hubs.sort();
        let Some((_, hub)) = hubs.get(rank).copied() else {
            let pause = process.interval;
            return self.after(pause, Event::Call { at, start, rank: 0 });
        };
        let ask = process.hub_follower.ask(hub, &process.cache);
        let call = Call { at, start, rank, hub, ask, sent_at };
        self.at(sent_at, Event::Sent { call });
    }

    pub(super) fn sent(&mut self, call: Call) {
        let target = self.processes.iter().position(|other| other.address == call.hub);
        match target.filter(|hub| self.processes[*hub].is_alive) {
            Some(hub) => {
                let arrives = self.send(call.at, hub, MESSAGE_BYTES, self.now);
                self.at(arrives, Event::Called { hub, call });
            }
            None => self.time_out(call),
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, bytes: usize, now: Mono) -> Mono {
        let mut receiver = self.processes[to].machine.clone();
        let arrives = self.processes[from].machine.send(&mut receiver, bytes, now);
        self.processes[to].machine = receiver;
        arrives
    }

    pub(super) fn called(&mut self, hub: usize, call: Call) {
        let begins = self.processes[hub].machine.work(MESSAGE_BYTES, self.now);
        match begins < call.sent_at + EXCHANGE_TIMEOUT {
            true => self.at(begins, Event::Serve { hub, call }),
            false => self.time_out(call),
        }
    }

    /// Decodes a message, and puts the configurations in it into force; returns when that is done.
    pub(super) fn decode(&mut self, at: usize, bytes: usize, config_bytes: usize) -> Mono {
        self.processes[at].machine.work(bytes + config_bytes * CONFIG_WORK, self.now)
    }

    pub(super) fn serve(&mut self, hub: usize, call: Call) {
        let now = self.now;
        if !self.processes[hub].is_alive {
            return self.time_out(call);
        }
        let client = self.processes[call.at].address;
        self.processes[hub].clients.insert(client, now);
        let process = &mut self.processes[hub];
        let answer = match &call.ask {
            Ask::Rows(asked) => Some(process.feed.difference(&process.cache, asked, now)),
            Ask::Changes(asked) => process.feed.changes(&process.cache, asked, now),
        };
        let Some(answer) = answer else {
            return self.after(Duration::ZERO, Event::Answered { call, answer: None });
        };
        let encoded = process.machine.work(bytes_of(&answer), now);
        match encoded < call.sent_at + EXCHANGE_TIMEOUT {
            true => self.at(encoded, Event::Encoded { hub, call, answer }),
            false => self.time_out(call),
        }
    }

    /// The sender of a call gives up waiting for the first byte of its answer.
    pub(super) fn time_out(&mut self, call: Call) {
        self.at(call.sent_at + EXCHANGE_TIMEOUT, Event::Answered { call, answer: None });
    }

    pub(super) fn answered(&mut self, call: Call, answer: Option<Answer>) {
        let Call { at, start, rank, hub, sent_at, .. } = call;
        let clients = self.clients_of(hub);
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        let Some(answer) = answer else {
            process.hub_follower.failed(hub, self.now);
            // It is not in the list for a while.
            return self.after(Duration::ZERO, Event::Call { at, start, rank });
        };
        let answered = match call.ask {
            Ask::Rows(_) => process.hub_follower.take_rows(&process.cache, hub, &answer, sent_at),
            Ask::Changes(..) => {
                process.hub_follower.take_changes(&process.cache, hub, &answer, sent_at)
            }
        };
        for change in answered.changes {
            process.cache.apply(&change.key, change.value, change.revision);
        }
        if let Some(current_at) = answered.current_at {
            process.cache.mark_current(current_at, RowSource::Process(hub));
        }
        process.interval = (TIME_PER_EXCHANGE * clients).clamp(MIN_INTERVAL, MAX_INTERVAL);
        let pause = process.interval;
        let next = match answered.is_fresh {
            true => Event::Call { at, start, rank: 0 },
            false => Event::Call { at, start, rank: rank + 1 },
        };
        self.check_age(at);
        self.note_config(at);
        self.after(if answered.is_fresh { pause } else { Duration::ZERO }, next);
    }

    pub(super) fn clients_of(&mut self, hub: SocketAddr) -> u32 {
        let since = self.now.saturating_sub(Duration::from_millis(1_500));
        let Some(hub) = self.processes.iter_mut().find(|process| process.address == hub) else {
            return 1;
        };
        hub.clients.retain(|_, at| *at > since);
        u32::try_from(hub.clients.len()).expect("few clients")
    }
}
