//! Who is served next, and where: grants, predictions and refusals.

use std::time::Duration;

use dillspool_schema::Name;
use dillspool_schema::messages::{PlacementGrant, RefuseCause, ReserveAnswer, ReserveMessage};
use tokio::time::Instant;

use crate::engines::{SlotHold, time_at};
use crate::queue::{QueueTag, QueuedRequest};
use crate::state::{PoolState, refusal};

/// A prefill is granted this long before its engine is free, to cover the way to the engine.
pub(crate) const LOOKAHEAD: Duration = Duration::from_millis(10);
/// Extra time counted for a transfer between failure domains, so that near engines win ties.
const DOMAIN_PENALTY: Duration = Duration::from_millis(1);

/// A place for a request, with the times that it would lead to.
struct PlacementChoice {
    prefill: usize,
    decode: Name,
    start: Instant,
    ready: Instant,
    link_until: Instant,
    first_token: Instant,
}

/// Work of the requests that come before one in the order of service.
#[derive(Debug, Default)]
struct WorkAhead {
    requests: u32,
    prefill: Duration,
}

impl PoolState {
    /// Grants what can start now and gives up what can no longer meet its target.
    ///
    /// A request that is given up is answered at once and told when to come back.
    pub fn dispatch(&mut self, now: Instant) -> Vec<ReserveAnswer> {
        let mut answers = Vec::new();
        let mut ahead = WorkAhead::default();
        for tag in self.queue.service_order() {
            let Some(request) = self.queue.get(&tag) else {
                continue;
            };
            if let Some(choice) = self.choose(request, now) {
                if choice.first_token > request.first_token_deadline {
                    let late = choice.first_token - request.first_token_deadline;
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
            if predicted > request.first_token_deadline {
                let late = predicted - request.first_token_deadline;
                answers.push(self.give_up(&tag, RefuseCause::TooLate, late));
                continue;
            }
            ahead.requests += 1;
            ahead.prefill += self.least_work(request);
        }
        self.queue.remove_idle_groups();
        answers
    }

    fn any_usable(&self, now: Instant) -> bool {
        self.prefills.iter().any(|it| it.is_usable(now))
            && self.decodes.values().any(|it| it.is_usable(now))
    }

    fn least_work(&self, request: &QueuedRequest) -> Duration {
        let ReserveMessage { prompt, prefix, .. } = request.message;
        let works = self.prefills.iter().map(|it| it.work_time(prompt, prefix));
        works.min().unwrap_or_default()
    }

    /// The engines with the earliest first token that have room now, `None` if no slot is free.
    fn choose(&self, request: &QueuedRequest, now: Instant) -> Option<PlacementChoice> {
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

    pub(crate) fn give_up(
        &mut self,
        tag: &QueueTag,
        cause: RefuseCause,
        retry: Duration,
    ) -> ReserveAnswer {
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
    fn predict(&self, ahead: &WorkAhead, request: &QueuedRequest, now: Instant) -> Instant {
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
}
