//! Decode memory at an engine: what a request reserves, and what must be free beside it.
//!
//! A reservation is kept at its engine for as long as the request runs there, whatever of it the
//! answer has grown into. `docs/design/admission.md` has the reasons for its size.

use std::sync::Arc;
use std::time::Duration;

use dillspool_capacity::MemoryTicket;
use dillspool_routing::{BackendEntry, BackendId, GenerationTerms, RoutedRequest};
use dillspool_schema::Name;

use crate::book::LoadTicket;
use crate::calls::{CallError, HoldTerms};
use crate::context::ForwardContext;

/// Part of the caller's guess that is reserved for an answer; what outgrows it takes memory that
/// nobody reserved. The best of 0.5 to 1.9 over 36 days (`docs/design/admission.md`).
const HINT_FACTOR: f64 = 0.8;
/// Tokens reserved for an answer at least.
const SMALLEST_ANSWER: u64 = 500;
/// Memory that must be free beside a reservation, as a part of the caller's guess, so that
/// answers that outgrow their reservations find some.
const HEADROOM_FACTOR: f64 = 0.7;
/// Life of a reservation: a prefill, its move and the first event take well under a second, and
/// a longer one keeps memory from others.
const HOLD_LIFE: Duration = Duration::from_secs(2);
/// Life of the reservation that shows the headroom; it is not used and lapses by itself.
const HEADROOM_LIFE: Duration = Duration::from_millis(20);
/// Time for which an engine that refused a reservation counts as full: some events' time.
const FULL_SPAN: Duration = Duration::from_millis(100);

/// Memory reserved at an engine, given back unless it was used.
pub(crate) struct HoldGuard {
    context: ForwardContext,
    entry: Arc<BackendEntry>,
    pub(crate) hold: Option<Name>,
}

impl HoldGuard {
    /// For a backend server that reserves nothing.
    pub(crate) fn empty(context: &ForwardContext, entry: &Arc<BackendEntry>) -> Self {
        Self { context: context.clone(), entry: Arc::clone(entry), hold: None }
    }
}

impl Drop for HoldGuard {
    fn drop(&mut self) {
        let Some(hold) = self.hold.take() else { return };
        let release = (self.context.calls.release_hold)(Arc::clone(&self.entry), hold);
        let id = BackendId::clone(&self.entry.id);
        self.context.tasks.spawn(async move {
            // A reservation that is not given back lapses by itself.
            if let Err(error) = release.await {
                log::debug!("event=hold_not_released backend={id} cause=\"{error}\"");
            }
        });
    }
}

/// A decode engine with memory for the request.
pub(crate) struct Placement {
    pub(crate) entry: Arc<BackendEntry>,
    /// Tokens reserved there; 0 at a backend server that reserves nothing.
    pub(crate) reserved: u64,
    pub(crate) hold: HoldGuard,
    pub(crate) ticket: StreamTicket,
}

/// An answer's place in this host's books, until it has ended.
pub(crate) struct StreamTicket {
    _load: LoadTicket,
    /// `None` at a backend server that reserves nothing.
    _memory: Option<MemoryTicket>,
}

impl StreamTicket {
    /// For a backend server that reserves nothing.
    pub(crate) fn without_memory(load: LoadTicket) -> Self {
        Self { _load: load, _memory: None }
    }
}

/// Reserves memory for a request at one engine, if enough is left beside it for growing answers.
pub(crate) async fn reserve(
    context: &ForwardContext,
    request: &RoutedRequest,
    entry: &Arc<BackendEntry>,
) -> Option<Placement> {
    let need = MemoryNeed::of(request.generation.as_ref());
    let load = context.book.enter(&entry.id, need.reserved);
    let terms = HoldTerms { tokens: need.reserved, life: HOLD_LIFE };
    let hold = ask(context, entry, terms).await?;
    let hold = HoldGuard { context: context.clone(), entry: Arc::clone(entry), hold: Some(hold) };
    let terms = HoldTerms { tokens: need.headroom, life: HEADROOM_LIFE };
    let _lapses = ask(context, entry, terms).await?;
    let memory = context.demand.enter(&request.service, need.reserved);
    let ticket = StreamTicket { _load: load, _memory: Some(memory) };
    Some(Placement { entry: Arc::clone(entry), reserved: need.reserved, hold, ticket })
}

/// Asks one engine for memory.
async fn ask(
    context: &ForwardContext,
    entry: &Arc<BackendEntry>,
    terms: HoldTerms,
) -> Option<Name> {
    match (context.calls.reserve)(Arc::clone(entry), terms).await {
        Ok(hold) => Some(hold),
        Err(CallError::Refused { .. }) => {
            context.metrics.note_hold_refused();
            context.book.note_full(&entry.id, FULL_SPAN);
            None
        }
        Err(CallError::NotSent { reason }) => {
            context.book.note_unreachable(&entry.id, &reason);
            None
        }
        Err(CallError::Lost { reason }) => {
            context.book.note_silence(&entry.id, &reason);
            None
        }
    }
}

/// Decode memory that a request needs, in tokens.
#[derive(Clone, Copy, Debug)]
struct MemoryNeed {
    /// Reserved for it alone.
    reserved: u64,
    /// Free beside that when it is placed.
    headroom: u64,
}

impl MemoryNeed {
    /// Of a request that says nothing of its lengths, the least.
    fn of(terms: Option<&GenerationTerms>) -> Self {
        let Some(terms) = terms else {
            return Self { reserved: SMALLEST_ANSWER, headroom: SMALLEST_ANSWER };
        };
        let hint = terms.output_hint.unwrap_or(terms.output_limit);
        let most = terms.output_limit.max(1);
        let part = |factor| scaled(hint, factor).max(SMALLEST_ANSWER).min(most);
        Self { reserved: terms.prompt_tokens + part(HINT_FACTOR), headroom: part(HEADROOM_FACTOR) }
    }
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts are far below 2^52 and not negative"
)]
fn scaled(tokens: u64, factor: f64) -> u64 {
    (tokens as f64 * factor) as u64
}
