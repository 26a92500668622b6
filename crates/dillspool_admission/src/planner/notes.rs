//! What became of requests at their engines, and what that says of the engines.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::{BackendInstance, BackendStart};
use dillspool_schema::Name;

use super::PoolPlanner;
use crate::decode_book::Foresight;
use crate::request::{EngineFault, StreamEnd, TicketId};

/// Weight of the newest gap in the average.
const GAP_WEIGHT: f64 = 0.05;

impl PoolPlanner {
    /// Notes that a prefill ended well.
    pub fn record_prefilled(&mut self, ticket: TicketId, took: Duration) {
        let Some(placed) = self.placed.get_mut(&ticket) else { return };
        let Some(engine) = placed.prefill.take() else { return };
        placed.read_by = Some(Name::clone(&engine));
        let Some(book) = self.prefill.get_mut(&engine) else { return };
        book.shut.note_answered();
        if let Some(tokens) = book.remove(ticket) {
            self.pace.note(tokens, took);
        }
    }

    /// Notes that the decode engine reads the prompt itself, other than decided.
    pub fn record_local_prefill(&mut self, ticket: TicketId, now: Moment) {
        self.leave_prefill(ticket);
        let Some(placed) = self.placed.get(&ticket) else { return };
        if let Some(book) = self.decode.get_mut(&placed.decode) {
            book.note_reads(ticket, now);
        }
    }

    /// Notes that the decode engine took a request.
    pub fn record_started(&mut self, ticket: TicketId, now: Moment) {
        self.leave_prefill(ticket);
        let Some(placed) = self.placed.get(&ticket) else { return };
        if let Some(book) = self.decode.get_mut(&placed.decode) {
            book.note_started(ticket, now);
        }
        let reader = placed.read_by.as_ref().and_then(|engine| self.prefill.get_mut(engine));
        if let Some(reader) = reader {
            reader.shut.note_success(now);
        }
    }

    /// Notes what an engine did other than expected; the request leaves it.
    pub fn record_fault(
        &mut self,
        ticket: TicketId,
        backend: &BackendInstance,
        fault: EngineFault,
        now: Moment,
    ) {
        let engine = &backend.id;
        // What another start of it did says nothing of the one that is known.
        let judged = !BackendStart::are_different(self.start_of(engine), backend.start);
        if fault == EngineFault::NoMemory {
            self.note_no_memory(ticket, engine, judged, now);
            return;
        }
        if judged {
            self.judge(ticket, engine, fault, now);
        }
        let Some(placed) = self.placed.get(&ticket) else { return };
        if placed.prefill.as_ref() == Some(engine) {
            self.leave_prefill(ticket);
        } else if placed.decode == *engine {
            self.remove(ticket);
        }
    }

    fn judge(&mut self, ticket: TicketId, engine: &Name, fault: EngineFault, now: Moment) {
        let reader = self.placed.get(&ticket).and_then(|placed| placed.read_by.clone());
        let decode = self.decode.get_mut(engine).map(|book| &mut book.shut);
        let shut = decode.or(self.prefill.get_mut(engine).map(|book| &mut book.shut));
        if let Some(shut) = shut {
            match fault {
                EngineFault::NoMemory => {}
                EngineFault::PrefillRefused => shut.note_refused_prefill(now),
                EngineFault::ReservedRequestRefused => {
                    shut.note_refused_reserved(now, reader.is_some())
                }
                EngineFault::Unreachable => shut.note_unreachable(now),
                EngineFault::NoResponse => shut.note_silence(now),
                EngineFault::Failed => shut.note_failed(now, self.policy.failures_before_shut),
            }
        }
        if fault == EngineFault::ReservedRequestRefused
            && let Some(reader) = reader.and_then(|reader| self.prefill.get_mut(&reader))
        {
            // The result that it read may have been gone.
            reader.shut.note_refused_reserved(now, true);
        }
    }

    /// Notes that a stream ended.
    pub fn record_ended(&mut self, ticket: TicketId, end: StreamEnd, now: Moment) {
        let engine = self.placed.get(&ticket).map(|placed| Name::clone(&placed.decode));
        let Some(stream) = self.take_off(ticket).filter(|_stream| end.is_complete) else { return };
        self.lengths.note(stream.guess_tokens, stream.age(now));
        if let Some(gap) = end.event_gap {
            let known = self.event_gap.unwrap_or(gap).as_secs_f64();
            let book = engine.and_then(|engine| self.decode.get_mut(&engine));
            if let Some(book) = book.filter(|_book| self.policy.slow_weight > 0.0 && known > 0.0) {
                book.note_pace(gap.as_secs_f64() / known, now, &self.lengths);
            }
            let mixed = known + GAP_WEIGHT * (gap.as_secs_f64() - known);
            self.event_gap = Some(Duration::from_secs_f64(mixed));
        }
    }

    fn note_no_memory(&mut self, ticket: TicketId, engine: &Name, judged: bool, now: Moment) {
        let stream = self.take_off(ticket);
        if !judged {
            return;
        }
        let (lengths, terms, policy) = (&self.lengths, self.terms, self.policy);
        let Some(book) = self.decode.get_mut(engine) else { return };
        let room = stream.map_or(0.0, |mut stream| {
            stream.started = None;
            let slowness = book.slowness(now, lengths);
            let stream = Foresight::of(&stream, now, lengths, slowness);
            book.room_beside(&stream, now, lengths, &terms, &policy)
        });
        book.note_no_memory(room, now);
    }
}
