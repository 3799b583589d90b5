//! A stand-in of a replica group: a batch of requests whose prompts are read in pieces between the
//! tokens of the running ones.
//!
//! Work is done in passes. A pass with a request that writes has [`EngineSpec::steps_per_flush`]
//! token steps, each of which reads at most a chunk of the prompts that are left, and ends with one
//! event for each request that writes. A pass without one has a single step. Requests beyond the
//! slots wait.

use std::collections::VecDeque;

use base::prelude::*;
use form::prelude::*;

/// A request at a group.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the process that sent it.
    pub(crate) process: usize,
    /// Its number in the simulation.
    pub(crate) number: usize,
    /// Prompt tokens that are not read yet.
    pub(crate) unread: u64,
    /// Events that are still to come.
    pub(crate) events_left: u32,
    /// Whether it has had its first event.
    pub(crate) has_begun: bool,
}

/// What a request got at the end of a pass.
pub(crate) struct Progress {
    /// The request, as it is after the pass.
    pub(crate) job: Job,
    /// Whether this was its first event.
    pub(crate) is_first: bool,
}

/// One group.
pub(crate) struct Engine {
    spec: EngineSpec,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    /// When the pass in progress ends, if one is.
    pass_end: Option<Mono>,
}

impl Engine {
    /// Returns a group without requests.
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Engine { spec, running: Vec::new(), waiting: VecDeque::new(), pass_end: None }
    }

    /// Returns the number of requests that it has.
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Adds a request.
    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    /// Ends the pass in progress if it is over, and begins the next one; returns the events of the
    /// pass that ended.
    pub(crate) fn advance(&mut self, now: Mono) -> Vec<Progress> {
        if self.pass_end.is_some_and(|end| now < end) {
            return Vec::new();
        }
        let progress = if self.pass_end.take().is_some() { self.end_pass() } else { Vec::new() };
        while self.running.len() < self.spec.slots
            && let Some(job) = self.waiting.pop_front()
        {
            self.running.push(job);
        }
        if !self.running.is_empty() {
            let duration = self.read_prompts();
            self.pass_end = Some(now + duration);
        }
        progress
    }

    /// Reads the prompts of one pass and returns how long the pass takes.
    fn read_prompts(&mut self) -> Duration {
        let has_writer = self.running.iter().any(|job| job.unread == 0);
        let steps = if has_writer { self.spec.steps_per_flush } else { 1 };
        let mut pass = Duration::ZERO;
        for _ in 0..steps {
            let mut left = self.spec.prefill_chunk_tokens;
            for job in &mut self.running {
                let piece = job.unread.min(left);
                job.unread -= piece;
                left -= piece;
            }
            let read = self.spec.prefill_chunk_tokens - left;
            let writers = self.running.iter().filter(|job| job.unread == 0).count();
            pass += self.spec.step_time
                + self.spec.step_time_per_request.mul_f64(writers as f64)
                + Duration::from_secs_f64(read as f64 / self.spec.prefill_tokens_per_second);
        }
        pass.mul_f64(self.spec.models[0].time_factor)
    }

    fn end_pass(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        for job in self.running.iter_mut().filter(|job| job.unread == 0) {
            let is_first = !std::mem::replace(&mut job.has_begun, true);
            job.events_left -= 1;
            progress.push(Progress { job: job.clone(), is_first });
        }
        self.running.retain(|job| job.events_left > 0);
        progress
    }
}
