//! Decisions of a pool's scheduler: who is served next, and where.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dillspool_config::ConfigSnapshot;
use dillspool_engine::CacheEvent;
use dillspool_schema::configuration::{BackendRole, PoolEntry};
use dillspool_schema::engine::StreamListing;
use dillspool_schema::messages::{
    HeldPlacement, PlacementGrant, RefuseCause, ReleaseCause, ReleaseMessage, ReserveAnswer,
    ReserveMessage, ReserveRefusal,
};
use dillspool_schema::{Name, StreamId};
use tokio::time::Instant;

use crate::class_service::ClassService;
use crate::engines::{DecodeState, PrefillState, SlotHold, time_at};
use crate::queue::{FairQueue, QueueTag, WaitingRequest};

/// A prefill is granted this long before its engine is free, to cover the way to the engine.
const LOOKAHEAD: Duration = Duration::from_millis(10);
/// Extra time counted for a transfer between failure domains, so that near engines win ties.
const DOMAIN_PENALTY: Duration = Duration::from_millis(1);
/// Longest time between two looks at a queue that is not empty.
const LONGEST_NAP: Duration = Duration::from_millis(20);
/// How long a released stream is remembered, to cancel what a late start left on an engine.
const TOMBSTONE_TIME: Duration = Duration::from_secs(30);
/// Age at which a released stream that an engine still lists is cancelled.
const RELEASE_GRACE: Duration = Duration::from_secs(2);
/// A placement that no engine has listed for this long is dropped: its release was lost.
const UNSEEN_LIMIT: Duration = Duration::from_secs(15);
/// Requests that may wait in one pool.
const QUEUE_LIMIT: usize = 4096;
/// Shortest and longest time after which a refused caller is told to come back.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(30));
/// Hold time that is assumed before one was observed.
const FIRST_HOLD: Duration = Duration::from_secs(4);
/// A new hold time counts one part in this many.
const HOLD_SMOOTHING: u32 = 32;

/// What became of a submitted request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReserveOutcome {
    /// It waits; its answer comes from a later pump.
    Waiting,
    /// It was answered at once.
    Answered(ReserveAnswer),
}

/// A place for a request, with the times that it would lead to.
struct PlacementChoice {
    prefill: usize,
    decode: Name,
    start: Instant,
    ready: Instant,
    link_until: Instant,
    first_token: Instant,
}

/// Queue, engines and placements of one pool.
#[derive(Debug)]
pub struct PoolState {
    pool: PoolEntry,
    /// Shared by all pools of a host: the groups are many.
    snapshot: Arc<ConfigSnapshot>,
    pub(crate) prefills: Vec<PrefillState>,
    pub(crate) decodes: BTreeMap<Name, DecodeState>,
    placements: BTreeMap<StreamId, Name>,
    queue: FairQueue,
    released: BTreeMap<StreamId, Instant>,
    mean_hold: Duration,
    service: ClassService,
    draining: bool,
}

impl PoolState {
    /// An empty scheduler for a pool of a configuration.
    pub fn new(pool: &PoolEntry, snapshot: &Arc<ConfigSnapshot>, now: Instant) -> Self {
        let mut state = Self {
            pool: pool.clone(),
            snapshot: Arc::clone(snapshot),
            prefills: Vec::new(),
            decodes: BTreeMap::new(),
            placements: BTreeMap::new(),
            queue: FairQueue::default(),
            released: BTreeMap::new(),
            mean_hold: FIRST_HOLD,
            service: ClassService::new(now),
            draining: false,
        };
        state.configure(snapshot, now);
        state
    }

    /// Takes a new configuration over; placements on engines that stay are kept.
    pub fn configure(&mut self, snapshot: &Arc<ConfigSnapshot>, now: Instant) {
        if let Some(pool) = snapshot.pool(&self.pool.name) {
            self.pool = pool.clone();
        }
        self.snapshot = Arc::clone(snapshot);
        let mut old: BTreeMap<Name, PrefillState> = std::mem::take(&mut self.prefills)
            .into_iter()
            .map(|prefill| (Name::clone(&prefill.entry.name), prefill))
            .collect();
        for entry in snapshot.backends(&self.pool.name, BackendRole::Prefill) {
            let mut state = match old.remove(&entry.name) {
                Some(state) => state,
                None => PrefillState::new(entry.clone(), now),
            };
            state.entry = entry.clone();
            self.prefills.push(state);
        }
        let mut old = std::mem::take(&mut self.decodes);
        for entry in snapshot.backends(&self.pool.name, BackendRole::Decode) {
            let mut state = match old.remove(&entry.name) {
                Some(state) => state,
                None => DecodeState::new(entry.clone(), now),
            };
            state.entry = entry.clone();
            self.decodes.insert(Name::clone(&entry.name), state);
        }
        let decodes = &self.decodes;
        self.placements.retain(|_, decode| decodes.contains_key(decode));
    }

    /// Marks which backend servers the host list shows as leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(&str) -> bool) {
        for prefill in &mut self.prefills {
            prefill.leaving = is_leaving(&prefill.entry.name);
        }
        for decode in self.decodes.values_mut() {
            decode.leaving = is_leaving(&decode.entry.name);
        }
    }

    /// Refuses all new requests from now on, because this host drains.
    pub fn set_draining(&mut self) {
        self.draining = true;
    }

    /// Requests waiting and slots held.
    pub fn counts(&self) -> (usize, usize) {
        (self.queue.len(), self.placements.len())
    }

    /// Takes a request in; [`PoolState::pump`] gives the answers.
    pub fn submit(&mut self, message: ReserveMessage, now: Instant) -> ReserveOutcome {
        let refuse =
            |cause, retry| ReserveOutcome::Answered(refusal(&message.stream, cause, retry));
        if self.draining {
            return refuse(RefuseCause::Draining, RETRY_RANGE.0);
        }
        if self.queue.len() >= QUEUE_LIMIT {
            return refuse(RefuseCause::QueueFull, self.mean_hold);
        }
        let Some(group) = self.snapshot.group(&message.group) else {
            return refuse(RefuseCause::UnknownPool, RETRY_RANGE.1);
        };
        let (share, priority) = (group.share, group.priority);
        let request = WaitingRequest {
            due: now + Duration::from_millis(message.wait_ms.into()),
            cost: self.cost(&message),
            per_token: Duration::from_millis(group.per_token_ms.into()),
            priority,
            message,
        };
        self.queue.push(request, share, priority);
        ReserveOutcome::Waiting
    }

    /// Share of the pool's time that a request takes: prefill and slot time in one figure.
    fn cost(&self, message: &ReserveMessage) -> Duration {
        let rate: u64 = self.prefills.iter().map(|it| it.entry.prefill_tokens_per_s).sum();
        let slots: u32 = self.decodes.values().map(|it| it.entry.slots).sum();
        let prefill = time_at(message.prompt, rate);
        let step =
            self.decodes.values().next().map_or(Duration::ZERO, |it| it.step_time(it.entry.slots));
        let hold = step * u32::try_from(message.output).unwrap_or(u32::MAX);
        prefill + hold / slots.max(1)
    }

    /// Grants what can start now and gives up what can no longer meet its target.
    ///
    /// A request that is given up is answered at once and told when to come back.
    pub fn pump(&mut self, now: Instant) -> Vec<ReserveAnswer> {
        let mut answers = Vec::new();
        let mut ahead = WorkAhead::default();
        for tag in self.queue.service_order() {
            let Some(request) = self.queue.get(&tag) else {
                continue;
            };
            if let Some(choice) = self.choose(request, now) {
                if choice.first_token > request.due {
                    let late = choice.first_token - request.due;
                    answers.push(self.give_up(&tag, RefuseCause::TooLate, late));
                    continue;
                }
                if choice.start <= now + LOOKAHEAD {
                    answers.extend(self.grant(&tag, &choice, now));
                    continue;
                }
            } else if !self.any_usable(now) {
                answers.push(self.give_up(&tag, RefuseCause::NoEngine, Duration::from_secs(1)));
                continue;
            }
            let predicted = self.predict(&ahead, request, now);
            if predicted > request.due {
                let late = predicted - request.due;
                answers.push(self.give_up(&tag, RefuseCause::TooLate, late));
                continue;
            }
            ahead.requests += 1;
            ahead.prefill += self.least_work(request);
        }
        self.queue.forget_idle();
        answers
    }

    fn any_usable(&self, now: Instant) -> bool {
        self.prefills.iter().any(|it| it.is_usable(now))
            && self.decodes.values().any(|it| it.is_usable(now))
    }

    fn least_work(&self, request: &WaitingRequest) -> Duration {
        let ReserveMessage { prompt, prefix, .. } = request.message;
        let works = self.prefills.iter().map(|it| it.work_time(prompt, prefix));
        works.min().unwrap_or_default()
    }

    /// The engines with the earliest first token that have room now, `None` if no slot is free.
    fn choose(&self, request: &WaitingRequest, now: Instant) -> Option<PlacementChoice> {
        let message = &request.message;
        let avoided = |name: &Name| message.avoid.contains(name);
        let (index, ready) = self.choose_prefill(message, now)?;
        let prefill = &self.prefills[index];
        let bytes = message.prompt * self.pool.kv_bytes_per_token;
        let mut best: Option<PlacementChoice> = None;
        for (name, decode) in &self.decodes {
            if !decode.is_usable(now) || avoided(name) {
                continue;
            }
            if decode.used() >= decode.batch_limit(request.per_token) {
                continue;
            }
            let transfer = time_at(bytes, decode.entry.link_bytes_per_s);
            let link_until = decode.link_free_at.max(ready) + transfer;
            let far = decode.entry.failure_domain != prefill.entry.failure_domain;
            let penalty = if far { DOMAIN_PENALTY } else { Duration::ZERO };
            let first_token = link_until + decode.step_time(decode.used() + 1) + penalty;
            if best.as_ref().is_none_or(|it| first_token < it.first_token) {
                best = Some(PlacementChoice {
                    prefill: index,
                    decode: Name::clone(name),
                    start: if message.prefilled.is_some() { now } else { prefill.free_at.max(now) },
                    ready,
                    link_until,
                    first_token,
                });
            }
        }
        best
    }

    /// The engine on which the prompt is ready first, and when.
    fn choose_prefill(&self, message: &ReserveMessage, now: Instant) -> Option<(usize, Instant)> {
        let mut engines = self.prefills.iter().enumerate();
        if let Some(name) = &message.prefilled {
            let (index, _) = engines.find(|(_, it)| it.entry.name == *name)?;
            return Some((index, now));
        }
        engines
            .filter(|(_, it)| it.is_usable(now) && !message.avoid.contains(&it.entry.name))
            .map(|(index, it)| {
                let work = it.work_time(message.prompt, message.prefix);
                (index, it.free_at.max(now) + work)
            })
            .min_by_key(|(_, ready)| *ready)
    }

    fn grant(
        &mut self,
        tag: &QueueTag,
        choice: &PlacementChoice,
        now: Instant,
    ) -> Option<ReserveAnswer> {
        let request = self.queue.serve(tag)?;
        self.service.note(request.priority, request.cost, now);
        let message = request.message;
        let prefill = &mut self.prefills[choice.prefill];
        if message.prefilled.is_none() {
            prefill.free_at = choice.ready;
        }
        let prefill_name = Name::clone(&prefill.entry.name);
        let decode = self.decodes.get_mut(&choice.decode)?;
        decode.link_free_at = choice.link_until;
        let hold = SlotHold {
            prefill: Name::clone(&prefill_name),
            since: now,
            seen: now,
            prompt: message.prompt,
            prefix: message.prefix,
        };
        decode.holds.insert(message.stream.clone(), hold);
        self.placements.insert(message.stream.clone(), Name::clone(&choice.decode));
        let grant = PlacementGrant { prefill: prefill_name, decode: Name::clone(&choice.decode) };
        Some(ReserveAnswer { stream: message.stream, grant: Some(grant), refusal: None })
    }

    fn give_up(&mut self, tag: &QueueTag, cause: RefuseCause, retry: Duration) -> ReserveAnswer {
        let share = self
            .queue
            .get(tag)
            .and_then(|request| self.snapshot.group(&request.message.group))
            .map_or(1, |group| group.share);
        let stream = match self.queue.withdraw(tag, share) {
            Some(request) => request.message.stream,
            None => unreachable!("the tag was read from the queue under the same lock"),
        };
        refusal(&stream, cause, retry)
    }

    /// When a waiting request would get its first token, behind the work ahead of it.
    fn predict(&self, ahead: &WorkAhead, request: &WaitingRequest, now: Instant) -> Instant {
        let usable = self.prefills.iter().filter(|it| it.is_usable(now));
        let (mut engines, mut backlog) = (0_u32, ahead.prefill);
        for prefill in usable {
            engines += 1;
            backlog += prefill.free_at.saturating_duration_since(now);
        }
        let prefill_wait = backlog / engines.max(1);
        let held = u32::try_from(self.placements.len()).unwrap_or(u32::MAX);
        let free = self.free_slots(request.per_token, now);
        let beyond = (ahead.requests + 1).saturating_sub(free);
        let slot_wait = self.mean_hold * beyond / held.max(1);
        // Requests of higher classes that come meanwhile go first.
        let wait = self.service.stretch(request.priority, prefill_wait.max(slot_wait));
        let bytes = request.message.prompt * self.pool.kv_bytes_per_token;
        let after = self.decodes.values().next().map_or(Duration::ZERO, |it| {
            time_at(bytes, it.entry.link_bytes_per_s) + it.step_time(it.used())
        });
        now + wait + self.least_work(request) + after
    }

    fn free_slots(&self, per_token: Duration, now: Instant) -> u32 {
        let usable = self.decodes.values().filter(|it| it.is_usable(now));
        usable.map(|it| it.batch_limit(per_token).saturating_sub(it.used())).sum()
    }

    /// When to pump again if nothing happens before, `None` when nothing waits.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        if self.queue.is_empty() {
            return None;
        }
        let starts = self.prefills.iter().filter_map(|it| it.free_at.checked_sub(LOOKAHEAD));
        let next = starts.filter(|start| *start > now).min();
        let latest = now + LONGEST_NAP;
        Some(next.map_or(latest, |next| next.min(latest)))
    }

    /// Gives a placement back, or takes a waiting request out.
    pub fn release(&mut self, message: &ReleaseMessage, now: Instant) {
        if let Some(tag) = self.queue.tag_of(&message.stream) {
            self.give_up(&tag, RefuseCause::TooLate, RETRY_RANGE.0);
        }
        self.released.retain(|_, at| now.duration_since(*at) < TOMBSTONE_TIME);
        self.released.insert(message.stream.clone(), now);
        let Some(name) = self.placements.remove(&message.stream) else {
            return;
        };
        let Some(decode) = self.decodes.get_mut(&name) else {
            return;
        };
        let Some(hold) = decode.holds.remove(&message.stream) else {
            return;
        };
        match message.cause {
            ReleaseCause::Done => decode.health.note_success(),
            ReleaseCause::DecodeFailed | ReleaseCause::TransferFailed => {
                decode.health.note_failure(now);
            }
            ReleaseCause::Cancelled | ReleaseCause::PrefillFailed => {}
        }
        if message.cause == ReleaseCause::Done {
            let newest = now.duration_since(hold.since);
            let kept = self.mean_hold * (HOLD_SMOOTHING - 1);
            self.mean_hold = (kept + newest) / HOLD_SMOOTHING;
        }
        let prefill = self.prefills.iter_mut().find(|it| it.entry.name == hold.prefill);
        let Some(prefill) = prefill else { return };
        match message.cause {
            ReleaseCause::PrefillFailed => prefill.health.note_failure(now),
            ReleaseCause::Done => {
                prefill.health.note_success();
                prefill.memory.observe(hold.prefix, message.cached, hold.prompt);
            }
            ReleaseCause::Cancelled | ReleaseCause::TransferFailed | ReleaseCause::DecodeFailed => {
            }
        }
    }

    /// Takes over all that an entry host holds; a new scheduler learns its state so.
    ///
    /// What the host does not hold any more, such as a grant whose answer was lost, is freed.
    pub fn report(&mut self, owner: (&Name, u64), held: &[HeldPlacement], now: Instant) {
        let reported: BTreeSet<&StreamId> = held.iter().map(|it| &it.stream).collect();
        let (host, incarnation) = owner;
        let stale: Vec<StreamId> = self
            .placements
            .keys()
            .filter(|it| it.host == *host && it.incarnation == incarnation)
            .filter(|it| !reported.contains(it))
            .cloned()
            .collect();
        for stream in stale {
            self.drop_placement(&stream);
        }
        for placement in held {
            let Some(decode) = self.decodes.get_mut(&placement.decode) else {
                continue;
            };
            decode.foreign.remove(&placement.stream);
            decode.holds.entry(placement.stream.clone()).or_insert_with(|| SlotHold {
                prefill: Name::clone(&placement.prefill),
                since: now,
                seen: now,
                prompt: 0,
                prefix: 0,
            });
            self.placements.insert(placement.stream.clone(), Name::clone(&placement.decode));
        }
    }

    fn drop_placement(&mut self, stream: &StreamId) {
        let Some(name) = self.placements.remove(stream) else {
            return;
        };
        if let Some(decode) = self.decodes.get_mut(&name) {
            decode.holds.remove(stream);
        }
    }

    /// Compares an engine's listing with the placements; returns released streams that linger.
    pub fn take_listing(
        &mut self,
        engine: &str,
        listing: &StreamListing,
        now: Instant,
    ) -> Vec<StreamId> {
        let listed = || listing.streams.iter().chain(&listing.exports);
        for stream in listed() {
            let decode = self.placements.get(stream).and_then(|it| self.decodes.get_mut(it));
            if let Some(hold) = decode.and_then(|it| it.holds.get_mut(stream)) {
                hold.seen = now;
            }
        }
        if let Some(decode) = self.decodes.get_mut(engine) {
            let foreign = listing.streams.iter().filter(|it| !decode.holds.contains_key(*it));
            let foreign = foreign.filter(|it| !self.released.contains_key(*it));
            decode.foreign = foreign.cloned().collect();
            let unseen = decode.holds.iter().filter(|(_, it)| now - it.seen > UNSEEN_LIMIT);
            let unseen: Vec<StreamId> = unseen.map(|(stream, _)| stream.clone()).collect();
            for stream in unseen {
                self.drop_placement(&stream);
            }
        }
        let lingering = |stream: &&StreamId| {
            let released = self.released.get(*stream);
            released.is_some_and(|at| now.duration_since(*at) >= RELEASE_GRACE)
        };
        listed().filter(lingering).cloned().collect()
    }

    /// Whether an engine answered the periodic listing.
    pub fn note_listing(&mut self, engine: &str, answered: bool) {
        if let Some(decode) = self.decodes.get_mut(engine) {
            decode.health.note_listing(answered);
        }
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.health.note_listing(answered);
        }
    }

    /// Takes cache events of a prefill engine in.
    pub fn take_events(&mut self, engine: &str, events: &[CacheEvent]) {
        if let Some(prefill) = self.prefills.iter_mut().find(|it| &*it.entry.name == engine) {
            prefill.memory.take_events(events);
        }
    }

    /// Number of the last cache event seen of a prefill engine.
    pub fn last_event(&self, engine: &str) -> u64 {
        let prefill = self.prefills.iter().find(|it| &*it.entry.name == engine);
        prefill.map_or(0, |it| it.memory.last_event())
    }

    /// Streams placed now.
    pub fn placed_streams(&self) -> impl Iterator<Item = &StreamId> {
        self.placements.keys()
    }
}

/// Work of the requests that come before one in the order of service.
#[derive(Debug, Default)]
struct WorkAhead {
    requests: u32,
    prefill: Duration,
}

fn refusal(stream: &StreamId, cause: RefuseCause, retry: Duration) -> ReserveAnswer {
    let retry = retry.clamp(RETRY_RANGE.0, RETRY_RANGE.1);
    let retry_ms = u32::try_from(retry.as_millis()).unwrap_or(u32::MAX);
    let refusal = ReserveRefusal { cause, retry_ms };
    ReserveAnswer { stream: stream.clone(), grant: None, refusal: Some(refusal) }
}
