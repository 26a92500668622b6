//! The streams of one decode engine, and the memory that they are foreseen to take.

use std::time::Duration;

use dillspool_moment::Moment;
use dillspool_routing::BackendStart;
use dillspool_schema::Name;

use crate::lifetime::LifetimeModel;
use crate::request::{AdmissionPolicy, EngineCapacity, TicketId};
use crate::shut::ShutState;

/// Moments ahead at which memory is foreseen, as parts of an answer's mean life. Beyond one life
/// most of what runs now has ended.
const AHEAD_PARTS: [f64; AHEAD] = [0.0, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0];
const AHEAD: usize = 7;
/// Age of a foresight at which it is worked out anew; memory grows by some percent until then.
const FORESIGHT_LIFE: Duration = Duration::from_millis(50);
/// Time for which an engine counts as full that refused memory: some events' time.
const UNSEEN_SURE: Duration = Duration::from_millis(100);
/// Time after which a refusal says nothing any more of what its engine holds.
const UNSEEN_LIFE: Duration = Duration::from_secs(1);
/// Weight of the newest answer in an engine's pace.
const PACE_WEIGHT: f64 = 0.4;
/// Mean lives of an answer after which an engine's pace counts for a third of what it did.
const PACE_LIVES: f64 = 3.0;
/// Paces of an engine against the usual one that are believed.
const PACE_RANGE: std::ops::RangeInclusive<f64> = 0.8..=4.0;
/// Factor by which an engine that decodes reads prompts more slowly than one that only prefills,
/// since it reads them between the tokens of its streams; as the platform's engines do.
pub(crate) const DECODE_READ_FACTOR: f64 = 2.0;

/// A stream at a decode engine.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecord {
    pub(crate) ticket: TicketId,
    pub(crate) prompt_tokens: u64,
    pub(crate) guess_tokens: u64,
    pub(crate) most_tokens: u64,
    pub(crate) reserve_tokens: u64,
    /// When its engine took it; until then only its reservation counts.
    pub(crate) started: Option<Moment>,
    /// Since when its engine reads the prompt itself, if it does.
    pub(crate) read_since: Option<Moment>,
}

impl StreamRecord {
    pub(crate) fn age(&self, now: Moment) -> Duration {
        self.started.map_or(Duration::ZERO, |started| now.since(started))
    }

    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn tokens_after(&self, age: Duration, token_s: f64) -> f64 {
        let made = age.as_secs_f64() / token_s.max(f64::EPSILON);
        self.prompt_tokens as f64 + made.min(self.most_tokens as f64)
    }

    /// Memory that its engine counts as taken at an age: the reservation, or what has outgrown it.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    fn held_after(&self, age: Duration, token_s: f64) -> f64 {
        self.tokens_after(age, token_s).max(self.reserve_tokens as f64)
    }
}

/// Memory that streams are foreseen to take, in tokens, at some moments ahead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Foresight {
    as_of: Moment,
    mean: [f64; AHEAD],
    variance: [f64; AHEAD],
    /// Taken or reserved now.
    held: f64,
}

impl Foresight {
    fn empty(as_of: Moment) -> Self {
        Self { as_of, mean: [0.0; AHEAD], variance: [0.0; AHEAD], held: 0.0 }
    }

    /// Of one stream alone, at an engine that takes so many times as long as usual.
    pub(crate) fn of(
        stream: &StreamRecord,
        now: Moment,
        lengths: &LifetimeModel,
        slowness: f64,
    ) -> Self {
        let mut foresight = Self::empty(now);
        foresight.add(stream, now, lengths, slowness);
        foresight
    }

    /// The most that both take together at any moment, so many standard deviations above the mean.
    fn most_beside(&self, other: &Self, deviations: f64) -> f64 {
        let means = self.mean.iter().zip(other.mean).map(|(own, other)| own + other);
        let variances = self.variance.iter().zip(other.variance).map(|(own, other)| own + other);
        means
            .zip(variances)
            .map(|(mean, variance)| mean + deviations * variance.sqrt())
            .fold(self.held + other.held, f64::max)
    }

    fn add(&mut self, stream: &StreamRecord, now: Moment, lengths: &LifetimeModel, slowness: f64) {
        let (age, pace_s) = (stream.age(now), lengths.token_s() * slowness);
        for (step, part) in AHEAD_PARTS.iter().enumerate() {
            let ahead = lengths.mean_life().mul_f64(*part);
            let (usual_age, usual_ahead) = (age.div_f64(slowness), ahead.div_f64(slowness));
            let chance = lengths.lives_on(stream.guess_tokens, usual_age, usual_ahead);
            let tokens = stream.held_after(age + ahead, pace_s);
            self.mean[step] += chance * tokens;
            self.variance[step] += chance * (1.0 - chance) * tokens * tokens;
        }
        self.held += stream.held_after(age, pace_s);
    }
}

/// A decode engine as far as it is known.
#[derive(Clone, Debug)]
pub(crate) struct DecodeBook {
    pub(crate) domain: Name,
    /// The start that all of this is about; `None` until one is told.
    pub(crate) start: Option<BackendStart>,
    pub(crate) streams: Vec<StreamRecord>,
    pub(crate) shut: ShutState,
    foresight: Option<Foresight>,
    /// Time that it takes for a token against the usual one, and as of when.
    pace: Option<(f64, Moment)>,
    /// Memory that something else must hold, since the engine refused a reservation, and when.
    unseen: Option<(f64, Moment)>,
}

impl DecodeBook {
    pub(crate) fn new(domain: Name, start: Option<BackendStart>) -> Self {
        let shut = ShutState::default();
        Self { domain, start, streams: Vec::new(), shut, foresight: None, pace: None, unseen: None }
    }

    pub(crate) fn add(&mut self, stream: StreamRecord) {
        self.streams.push(stream);
        self.foresight = None;
    }

    pub(crate) fn remove(&mut self, ticket: TicketId) -> Option<StreamRecord> {
        let at = self.streams.iter().position(|stream| stream.ticket == ticket)?;
        self.foresight = None;
        Some(self.streams.swap_remove(at))
    }

    /// Notes the time between the events of an answer that ended here, against the usual one.
    pub(crate) fn note_pace(&mut self, ratio: f64, now: Moment, lengths: &LifetimeModel) {
        let known = self.slowness(now, lengths);
        self.pace = Some((known + PACE_WEIGHT * (ratio - known), now));
    }

    /// Factor by which it takes longer than usual, as far as answers that ended here tell.
    pub(crate) fn slowness(&self, now: Moment, lengths: &LifetimeModel) -> f64 {
        let Some((pace, at)) = self.pace else { return 1.0 };
        let lives = now.since(at).as_secs_f64() / lengths.mean_life().as_secs_f64();
        let slowness = 1.0 + (pace - 1.0) * (-lives / PACE_LIVES).exp();
        slowness.clamp(*PACE_RANGE.start(), *PACE_RANGE.end())
    }

    pub(crate) fn note_started(&mut self, ticket: TicketId, now: Moment) {
        self.shut.note_success(now);
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.started = Some(now);
            self.foresight = None;
        }
    }

    /// Whether it gets nothing now: it is shut, or has yet to show with one request that it does as it
    /// should.
    pub(crate) fn is_closed(&self, now: Moment) -> bool {
        let is_tried = || self.streams.iter().any(|stream| stream.started.is_none());
        self.shut.is_shut(now) || (self.shut.is_on_probation() && is_tried())
    }

    pub(crate) fn note_reads(&mut self, ticket: TicketId, now: Moment) {
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.read_since = Some(now);
        }
    }

    pub(crate) fn note_read(&mut self, ticket: TicketId) {
        if let Some(stream) = self.streams.iter_mut().find(|stream| stream.ticket == ticket) {
            stream.read_since = None;
        }
    }

    /// Tokens that are left beside a stream if it ran here, by what is foreseen and by what the
    /// engine counts as reserved; less than zero when there is no room.
    #[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
    pub(crate) fn room_beside(
        &mut self,
        stream: &Foresight,
        now: Moment,
        lengths: &LifetimeModel,
        terms: &EngineCapacity,
        policy: &AdmissionPolicy,
    ) -> f64 {
        if self.streams.len() >= terms.slots as usize {
            return f64::NEG_INFINITY;
        }
        let own = self.foresee(now, lengths);
        let most = own.most_beside(stream, policy.memory_deviations);
        terms.memory_tokens as f64 - most - self.unseen_tokens(now)
    }

    fn foresee(&mut self, now: Moment, lengths: &LifetimeModel) -> Foresight {
        let fresh = |known: &Foresight| now.since(known.as_of) < FORESIGHT_LIFE;
        if let Some(known) = self.foresight.filter(fresh) {
            return known;
        }
        let mut foresight = Foresight::empty(now);
        let slowness = self.slowness(now, lengths);
        for stream in &self.streams {
            foresight.add(stream, now, lengths, slowness);
        }
        self.foresight = Some(foresight);
        foresight
    }

    /// Tokens that are foreseen to be given back within a time, by streams that end.
    pub(crate) fn released_within(
        &self,
        time: Duration,
        now: Moment,
        lengths: &LifetimeModel,
    ) -> f64 {
        let slowness = self.slowness(now, lengths);
        let released = |stream: &StreamRecord| {
            let age = stream.age(now);
            let (usual_age, usual_time) = (age.div_f64(slowness), time.div_f64(slowness));
            let ends = 1.0 - lengths.lives_on(stream.guess_tokens, usual_age, usual_time);
            ends * stream.held_after(age, lengths.token_s() * slowness)
        };
        self.streams.iter().map(released).sum()
    }

    /// Notes that the engine had no memory where `room` tokens were believed to be left.
    pub(crate) fn note_no_memory(&mut self, room: f64, now: Moment) {
        let more = room.max(0.0) + 1.0;
        self.unseen = Some((self.unseen_tokens(now) + more, now));
    }

    fn unseen_tokens(&self, now: Moment) -> f64 {
        self.unseen.map_or(0.0, |(tokens, at)| {
            let unsure = now.since(at).saturating_sub(UNSEEN_SURE);
            tokens * (1.0 - unsure.as_secs_f64() / UNSEEN_LIFE.as_secs_f64()).max(0.0)
        })
    }

    /// Whether a prompt is being read here, as far as its length tells.
    pub(crate) fn is_reading(&self, now: Moment, pace_s: f64) -> bool {
        self.streams.iter().any(|stream| {
            stream
                .read_since
                .is_some_and(|since| now.since(since) < read_time(stream.prompt_tokens, pace_s))
        })
    }
}

/// Time that a decode engine takes to read a prompt; `pace_s` is that of a prefill engine.
#[expect(clippy::cast_precision_loss, reason = "tokens are far below 2^52")]
pub(crate) fn read_time(prompt_tokens: u64, pace_s: f64) -> Duration {
    Duration::from_secs_f64(prompt_tokens as f64 * pace_s * DECODE_READ_FACTOR)
}
