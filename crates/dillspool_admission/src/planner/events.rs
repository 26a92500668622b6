//! Records the results of requests on their engines and updates what is known of the engines.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;

use super::PoolPlanner;
use crate::decode_state::MemoryForecast;
use crate::request::{EngineFault, StreamEnd, TicketId};

/// Weight of the newest gap in the moving average.
const GAP_WEIGHT: f64 = 0.05;

impl PoolPlanner {
    /// Records a successful prefill.
    pub fn record_prefilled(&mut self, ticket: TicketId, took: Duration) {
        let Some(placement) = self.placements.get_mut(&ticket) else { return };
        let Some(engine) = placement.prefill_engine.take() else { return };
        placement.prefilled_by = Some(Name::clone(&engine));
        let Some(state) = self.prefill_engines.get_mut(&engine) else { return };
        state.breaker.record_response();
        if let Some(tokens) = state.remove(ticket) {
            self.prefill_rate.record(tokens, took);
        }
    }

    /// Records that the decode engine prefills the prompt itself, contrary to the decision.
    pub fn record_local_prefill(&mut self, ticket: TicketId, now: Moment) {
        self.dequeue_prefill(ticket);
        let Some(placement) = self.placements.get(&ticket) else { return };
        if let Some(state) = self.decode_engines.get_mut(&placement.decode_engine) {
            state.record_prefill_started(ticket, now);
        }
    }

    /// Records that the decode engine accepted a request.
    pub fn record_started(&mut self, ticket: TicketId, now: Moment) {
        self.dequeue_prefill(ticket);
        let Some(placement) = self.placements.get(&ticket) else { return };
        if let Some(state) = self.decode_engines.get_mut(&placement.decode_engine) {
            state.record_started(ticket, now);
        }
        let prefiller =
            placement.prefilled_by.as_ref().and_then(|engine| self.prefill_engines.get_mut(engine));
        if let Some(prefiller) = prefiller {
            prefiller.breaker.record_success(now);
        }
    }

    /// Records an unexpected result of an engine; the request leaves that engine.
    pub fn record_fault(
        &mut self,
        ticket: TicketId,
        backend: &BackendInstance,
        fault: EngineFault,
        now: Moment,
    ) {
        let engine = &backend.id;
        // A fault of another start of the engine says nothing about the current one.
        let is_current_start =
            !BackendStart::are_different(self.engine_start(engine), backend.start);
        if fault == EngineFault::NoMemory {
            self.record_no_memory(ticket, engine, is_current_start, now);
            return;
        }
        if is_current_start {
            self.record_engine_fault(ticket, engine, fault, now);
        }
        let Some(placement) = self.placements.get(&ticket) else { return };
        if placement.prefill_engine.as_ref() == Some(engine) {
            self.dequeue_prefill(ticket);
        } else if placement.decode_engine == *engine {
            self.remove(ticket);
        }
    }

    fn record_engine_fault(
        &mut self,
        ticket: TicketId,
        engine: &Name,
        fault: EngineFault,
        now: Moment,
    ) {
        let prefiller =
            self.placements.get(&ticket).and_then(|placement| placement.prefilled_by.clone());
        let decode = self.decode_engines.get_mut(engine).map(|state| &mut state.breaker);
        let breaker =
            decode.or(self.prefill_engines.get_mut(engine).map(|state| &mut state.breaker));
        if let Some(breaker) = breaker {
            match fault {
                EngineFault::NoMemory => {}
                EngineFault::PrefillRefused => breaker.record_prefill_refused(now),
                EngineFault::ReservedRequestRefused => {
                    breaker.record_reserved_refused(now, prefiller.is_some());
                }
                EngineFault::Unreachable => breaker.record_unreachable(now),
                EngineFault::NoResponse => breaker.record_no_response(now),
                EngineFault::Failed => {
                    breaker.record_failure(now, self.policy.failures_before_shut);
                }
            }
        }
        if fault == EngineFault::ReservedRequestRefused
            && let Some(prefiller) =
                prefiller.and_then(|prefiller| self.prefill_engines.get_mut(&prefiller))
        {
            // The prefill result may no longer have been available.
            prefiller.breaker.record_reserved_refused(now, true);
        }
    }

    /// Records the end of a stream.
    pub fn record_ended(&mut self, ticket: TicketId, end: StreamEnd, now: Moment) {
        let engine =
            self.placements.get(&ticket).map(|placement| Name::clone(&placement.decode_engine));
        let Some(stream) = self.detach(ticket).filter(|_stream| end.is_complete) else { return };
        self.lifetimes.record(stream.estimated_tokens, stream.age(now));
        if let Some(gap) = end.event_gap {
            let known = self.event_gap.unwrap_or(gap).as_secs_f64();
            let state = engine.and_then(|engine| self.decode_engines.get_mut(&engine));
            if let Some(state) = state.filter(|_state| self.policy.slow_weight > 0.0 && known > 0.0)
            {
                state.record_slowness(gap.as_secs_f64() / known, now, &self.lifetimes);
            }
            let average = known + GAP_WEIGHT * (gap.as_secs_f64() - known);
            self.event_gap = Some(Duration::from_secs_f64(average));
        }
    }

    fn record_no_memory(
        &mut self,
        ticket: TicketId,
        engine: &Name,
        is_current_start: bool,
        now: Moment,
    ) {
        let stream = self.detach(ticket);
        if !is_current_start {
            return;
        }
        let (lifetimes, capacity, policy) = (&self.lifetimes, self.engine_capacity, self.policy);
        let Some(state) = self.decode_engines.get_mut(engine) else { return };
        let free = stream.map_or(0.0, |mut stream| {
            stream.started_at = None;
            let slowness = state.slowness(now, lifetimes);
            let stream = MemoryForecast::for_stream(&stream, now, lifetimes, slowness);
            state.free_memory_with(&stream, now, lifetimes, &capacity, &policy)
        });
        state.record_no_memory(free, now);
    }
}
