//! Binds a stream to the software version that began it.

use std::time::Duration;

use dillspool_origins::{ORIGIN_TTL, OriginAnswer, OriginDecision, decide_origin};
use dillspool_routing::{BackendEntry, EngineStage, SoftwareVersion};
use dillspool_schema::Name;

use super::{ModelRequest, refusal_with_jitter};
use crate::refusal::{Refusal, RefusalCause};

/// Retry delay while this host knows too little of a stream because it has no scheduler to ask.
const ORIGIN_RETRY_AFTER_MS: std::ops::Range<u64> = 300..600;
/// Interval at which the origin of a stream in progress is recorded again.
const RENEWAL_INTERVAL: Duration = ORIGIN_TTL.checked_div(3).expect("not zero");

/// The software version at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamSoftware {
    /// Any: the caller has no event yet.
    Any,
    /// The one that began the stream.
    Bound(SoftwareVersion),
    /// None: the engine restarted with another version, and either may have sent its events.
    InDoubt,
}

impl StreamSoftware {
    /// The version that the next engine must run, if there is one.
    pub(crate) fn required(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Bound(software) => Some(software),
            Self::Any | Self::InDoubt => None,
        }
    }
}

impl ModelRequest {
    /// Finds out which version began the stream that the caller resumes, if it resumes one.
    pub(super) async fn find_origin(&mut self) -> Result<(), Refusal> {
        let (context, request) = (self.context.clone(), &self.request);
        if request.resume_after.is_none() && request.resumed_attempt.is_none() {
            return Ok(());
        }
        let (service, attempt) = (&request.service, request.resumed_attempt.as_ref());
        let find_own = || context.origins.find(service, attempt.map(|attempt| &**attempt));
        let mut own = find_own();
        let told = if own.record.is_some() {
            None
        } else {
            let told = context.schedule.find_origin(service, attempt).await;
            own = find_own();
            told
        };
        let mut decision = decide_origin(service, &own, told.as_ref());
        let is_recorded = |answer: &OriginAnswer| answer.record.is_some();
        let by_versions = !is_recorded(&own) && !told.as_ref().is_some_and(is_recorded);
        let mut is_confirmed = false;
        if by_versions && decision != OriginDecision::Unknown {
            // Either list may be older than the stream.
            is_confirmed = context.origins.confirm_versions(service).await;
            own = find_own();
            decision = if is_confirmed {
                decide_origin(service, &own, told.as_ref())
            } else {
                OriginDecision::Unknown
            };
        }
        let software = match &decision {
            OriginDecision::Began(software) => software.to_string(),
            OriginDecision::Unknown => "unknown".to_owned(),
        };
        log::info!(
            "event=stream_resumed id={} resumes={} last_event={} software={software} recorded={} told={} versions={} complete={} confirmed={is_confirmed}",
            request.id,
            attempt.map_or("none", |attempt| &**attempt),
            request.resume_after.unwrap_or(0),
            own.record.is_some(),
            told.as_ref().is_some_and(|told| told.record.is_some()),
            own.versions.versions.len(),
            own.versions.is_complete,
        );
        match decision {
            OriginDecision::Began(software) => {
                self.software = StreamSoftware::Bound(software);
                self.confirm_gone().await
            }
            OriginDecision::Unknown
                if context.origins.is_out_of_step()
                    || (told.is_none() && !context.schedule.is_scheduler_for(service)) =>
            {
                Err(refusal_with_jitter(RefusalCause::SoftwareUnknown, ORIGIN_RETRY_AFTER_MS))
            }
            OriginDecision::Unknown => Err(Refusal::new(RefusalCause::SoftwareUnknown)),
        }
    }

    /// Refuses a stream whose version has no engine here, with a time to come back if this host's
    /// directory is older than the stream.
    async fn confirm_gone(&self) -> Result<(), Refusal> {
        let Err(refusal) = self.check_software() else { return Ok(()) };
        let (origins, service) = (&self.context.origins, &self.request.service);
        if origins.confirm_versions(service).await && !origins.is_out_of_step() {
            return Err(refusal);
        }
        Err(refusal_with_jitter(RefusalCause::SoftwareGone, ORIGIN_RETRY_AFTER_MS))
    }

    /// Refuses a stream for which no engine is left that may go on with it.
    pub(super) fn check_software(&self) -> Result<(), Refusal> {
        let software = match &self.software {
            StreamSoftware::Any => return Ok(()),
            StreamSoftware::Bound(software) => software,
            StreamSoftware::InDoubt => return Err(Refusal::new(RefusalCause::SoftwareUnknown)),
        };
        let (view, service) = (self.context.view(), &self.request.service);
        let is_partial =
            view.subset.as_ref().is_some_and(|subset| subset.for_class(service).sampling_bits > 0);
        let mut left = view.ready(service).filter(|entry| {
            entry.software == *software && entry.stage != Some(EngineStage::Prefill)
        });
        if is_partial || left.next().is_some() {
            return Ok(());
        }
        // No retry delay: a version that has left does not come back within the caller's time.
        Err(Refusal::new(RefusalCause::SoftwareGone))
    }

    /// Whether the stream is bound to one of several versions, so that it has fewer engines than a new
    /// stream.
    pub(super) fn has_fewer_engines(&self) -> bool {
        let Some(software) = self.software.required() else { return false };
        let view = self.context.view();
        view.ready(&self.request.service).any(|entry| entry.software != *software)
    }

    /// The attempt that brought the first event of the stream.
    fn origin_attempt(&self) -> Option<&Name> {
        match &self.request.resumed_attempt {
            Some(attempt) => Some(attempt),
            None if self.request.resume_after.is_none() => Some(&self.request.id),
            // The caller does not name it.
            None => None,
        }
    }

    /// Records that an engine with this version sent the first event of this response.
    pub(crate) fn record_begun(&mut self, software: &SoftwareVersion) {
        if self.software == StreamSoftware::Any {
            self.software = StreamSoftware::Bound(software.clone());
        }
        self.record_origin();
    }

    /// Records the origin again from time to time, so that it is remembered for as long as the stream
    /// is in progress.
    pub(crate) fn renew_origin(&mut self) {
        let clock = &self.request.clock;
        if self.origin_recorded_at.is_some_and(|at| clock.since(at) >= RENEWAL_INTERVAL) {
            self.record_origin();
        }
    }

    fn record_origin(&mut self) {
        self.origin_recorded_at = Some(self.request.clock.now());
        if !self.request.route.resumable {
            return;
        }
        if let Some(attempt) = self.origin_attempt() {
            let software = self.software.required().cloned();
            self.context.origins.record(&self.request.service, attempt, software);
        }
    }

    /// Records that an engine that sent events of the stream has restarted. With another version, either
    /// may have sent them.
    pub(crate) fn record_engine_restart(&mut self, entry: &BackendEntry) {
        if self.context.view().has_changed_software(entry) {
            self.software = StreamSoftware::InDoubt;
            self.record_origin();
        }
    }
}
