//! Which of the arriving requests are admitted, and when rejected callers retry.

use base::prelude::*;

use super::EndpointPool;
use super::EndpointRequirements;
use crate::admission::RequestClass;
use crate::admission::RetryTimes;
use crate::admission::Shares;
use crate::arrivals::Flow;
use crate::engine_time::RequestSize;
use crate::flows::FlowOutlook;

/// Size up to which a request counts for the mean of its flow, relative to the usual size.
const MAX_SIZE_RATIO: f64 = 8.0;
/// Upper bound on the number of reports for which a request is expected to wait.
const MAX_REPORTS_TO_ADMISSION: f64 = 1e3;

impl EndpointPool {
    /// Records that a request has arrived.
    pub fn request_arrived(
        &mut self,
        requirements: &EndpointRequirements,
        class: RequestClass<'_>,
        now: Mono,
    ) {
        let EndpointRequirements { service, model, .. } = requirements;
        // Callers may name any model, and claim any size.
        let (Some(engine), Some(model)) = (self.engine(service), model) else { return };
        if engine.model(model).is_none() {
            return;
        }
        let counted = |tokens: u64, usual: f64| (tokens as f64).min(usual * MAX_SIZE_RATIO);
        let size = RequestSize {
            prompt_tokens: counted(requirements.prompt_tokens, engine.mean_prompt_tokens),
            output_tokens: counted(requirements.output_tokens, engine.mean_output_tokens),
        };
        self.flows.request_arrived(&(service.clone(), Some(model.clone())), size, class, now);
    }

    /// Returns whether a request may be sent before the next report. If the endpoints can't take all
    /// that arrive, each process sends the same share of its own of each priority.
    pub fn admits(
        &self,
        requirements: &EndpointRequirements,
        class: RequestClass<'_>,
        arrived_at: Mono,
    ) -> bool {
        let is_repeated = !requirements.excluded.is_empty();
        is_repeated
            || self.flows.admits(self.admitted_share(requirements, class), arrived_at)
            || self.is_being_evacuated(requirements)
    }

    /// Returns whether the endpoints can take all requests that arrive until the next report.
    pub fn takes_all(&self, requirements: &EndpointRequirements) -> bool {
        self.flow_outlook(requirements).admitted >= 1.0
    }

    /// Returns when callers whose requests are rejected since the endpoints are busy are to retry.
    pub fn retry_times(&self, requirements: &EndpointRequirements) -> RetryTimes {
        self.flow_outlook(requirements).retry_times
    }

    /// Returns about how long a request whose share is used up waits until it is admitted; `None` if
    /// all requests of its flow have the same share.
    pub fn time_to_admission(
        &self,
        requirements: &EndpointRequirements,
        class: RequestClass<'_>,
    ) -> Option<Duration> {
        let shares = self.flow_outlook(requirements).shares;
        let share = self.admitted_share(requirements, class);
        // A request is drawn anew at each report, so it waits for 1 / share reports on average.
        let reports = (1.0 / share).min(MAX_REPORTS_TO_ADMISSION);
        let differ = shares.differ() || share != shares.of(class.priority);
        differ.then(|| self.flows.report_interval().mul_f64(reports))
    }

    /// Returns the share of the requests of a priority and workspace that is admitted.
    pub fn admitted_share(
        &self,
        requirements: &EndpointRequirements,
        class: RequestClass<'_>,
    ) -> f64 {
        self.flows.share(&requirements.service, requirements.model.as_deref(), class)
    }

    /// Returns the admitted shares of each flow by priority.
    pub fn admitted_shares(&self) -> impl Iterator<Item = (&Flow, &Shares)> {
        self.flows.shares()
    }

    pub(super) fn flow_outlook(&self, requirements: &EndpointRequirements) -> FlowOutlook {
        self.flows.outlook(&requirements.service, requirements.model.as_deref())
    }
}
