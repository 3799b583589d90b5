//! Processes of a simulated fleet that follow the store.

use super::*;

impl Fleet<'_> {
    pub(super) fn check(&mut self, at: usize, start: u64) {
        let now = self.now;
        let process = &mut self.processes[at];
        if process.start != start || !process.is_alive {
            return;
        }
        let situation =
            Situation { is_hub: process.is_hub, interval: process.interval, all_hubs_tried: true };
        match process.store_follower.check(&situation, &process.cache, now) {
            StoreAction::Follow | StoreAction::FollowAsHub => {
                process.watch += 1;
                let watch = process.watch;
                self.report.followed += 1;
                self.after(Duration::ZERO, Event::List { at, watch });
            }
            StoreAction::Leave => process.watch += 1,
            StoreAction::Keep => {}
        }
        self.check_age(at);
        self.after(CHECK_PERIOD, Event::Check { at, start });
    }

    pub(super) fn reaches_store(&self, at: usize, watch: u64) -> bool {
        let process = &self.processes[at];
        process.watch == watch && process.is_alive && process.cut_until <= self.now
    }

    /// Tries again later if a call to the store that began at `sent_at` can't reach it.
    pub(super) fn retry_store(&mut self, at: usize, watch: u64) {
        let process = &mut self.processes[at];
        if process.watch == watch && process.is_alive {
            process.store_follower.interrupted();
            self.after(STORE_RETRY_PAUSE, Event::List { at, watch });
        }
    }

    pub(super) fn list(&mut self, at: usize, watch: u64) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        let sent_at = self.processes[at].machine.work(MESSAGE_BYTES, self.now);
        self.at(sent_at, Event::ListSent { at, watch });
    }

    /// The store is read for a list.
    pub(super) fn list_sent(&mut self, at: usize, watch: u64) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        let (changes, revision) = (self.store.list(), self.store.revision());
        let read = Read { changes, revision, sent_at: self.now, is_list: true };
        self.bring(at, watch, read);
    }

    /// Sends what was read to the process.
    pub(super) fn bring(&mut self, at: usize, watch: u64, read: Read) {
        let (bytes, sent) = self.store.send(&read.changes, read.is_list, self.now);
        let arrives = self.processes[at].machine.receive(bytes, sent);
        self.at(arrives, Event::Brought { at, watch, read, bytes });
    }

    pub(super) fn poll(&mut self, at: usize, watch: u64, after: u64) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        let sent_at = self.processes[at].machine.work(MESSAGE_BYTES, self.now);
        let until = sent_at + WATCH_WAIT;
        self.at(sent_at, Event::Read { at, watch, sent_at, after, until });
    }

    /// The store looks whether it has a change for a call that waits.
    pub(super) fn read(&mut self, at: usize, watch: u64, sent_at: Mono, after: u64, until: Mono) {
        if !self.reaches_store(at, watch) {
            return self.retry_store(at, watch);
        }
        if self.store.revision() == after && self.now < until {
            let next = (self.now + Duration::from_millis(5)).min(until);
            return self.at(next, Event::Read { at, watch, sent_at, after, until });
        }
        let changes = self.store.changes_since(after);
        let read = Read { changes, revision: self.store.revision(), sent_at, is_list: false };
        self.bring(at, watch, read);
    }

    pub(super) fn take(&mut self, at: usize, watch: u64, read: Read) {
        let process = &mut self.processes[at];
        if process.watch != watch || !process.is_alive {
            return;
        }
        for change in read.changes {
            process.cache.apply(&change.key, change.value, change.revision);
        }
        if read.is_list {
            process.store_follower.synced();
        }
        process.cache.mark_current(read.sent_at, RowSource::Store);
        self.check_age(at);
        self.note_config(at);
        self.after(WATCH_GAP, Event::Poll { at, watch, after: read.revision });
    }
}
