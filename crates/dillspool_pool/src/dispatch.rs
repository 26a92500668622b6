//! Dispatches queued requests: chooses engines, predicts first tokens, grants and refuses.

use std::time::Duration;

use dillspool_schema::Name;
use dillspool_schema::messages::{PlacementGrant, RefuseCause, ReserveAnswer, ReserveMessage};
use tokio::time::Instant;

use crate::engines::{SlotReservation, duration_at_rate};
use crate::queue::{QueueTag, QueuedRequest};
use crate::state::{PoolState, refusal};

/// A prefill is granted this long before its engine is free, to cover the network latency.
pub(crate) const GRANT_LOOKAHEAD: Duration = Duration::from_millis(10);
/// Penalty for a transfer between failure domains, so that engines in the same domain win ties.
const DOMAIN_PENALTY: Duration = Duration::from_millis(1);

/// Candidate placement of a request, with its predicted times.
struct PlacementChoice {
    prefill: usize,
    decode: Name,
    start: Instant,
    ready: Instant,
    link_until: Instant,
    first_token: Instant,
}

/// Work of the requests that are served before a given one.
#[derive(Debug, Default)]
struct WorkAhead {
    requests: u32,
    prefill: Duration,
}

impl PoolState {
    /// Grants requests that can start now and refuses those that can no longer meet their target.
    ///
    /// A refused request is answered immediately, with a retry delay.
    pub fn dispatch(&mut self, now: Instant) -> Vec<ReserveAnswer> {
        let mut answers = Vec::new();
        let mut ahead = WorkAhead::default();
        for tag in self.queue.service_order() {
            let Some(request) = self.queue.get(&tag) else {
                continue;
            };
            if let Some(choice) = self.choose_placement(request, now) {
                if choice.first_token > request.first_token_deadline {
                    let late = choice.first_token - request.first_token_deadline;
                    answers.push(self.reject(&tag, RefuseCause::TooLate, late));
                    continue;
                }
                if choice.start <= now + GRANT_LOOKAHEAD {
                    answers.extend(self.grant(&tag, &choice, now));
                    continue;
                }
            } else if !self.has_usable_engines(now) {
                answers.push(self.reject(&tag, RefuseCause::NoEngine, Duration::from_secs(1)));
                continue;
            }
            let predicted = self.predict_first_token(&ahead, request, now);
            if predicted > request.first_token_deadline {
                let late = predicted - request.first_token_deadline;
                answers.push(self.reject(&tag, RefuseCause::TooLate, late));
                continue;
            }
            ahead.requests += 1;
            ahead.prefill += self.min_prefill_time(request);
        }
        self.queue.remove_idle_groups();
        answers
    }

    fn has_usable_engines(&self, now: Instant) -> bool {
        self.prefills.iter().any(|it| it.is_usable(now))
            && self.decodes.values().any(|it| it.is_usable(now))
    }

    fn min_prefill_time(&self, request: &QueuedRequest) -> Duration {
        let ReserveMessage { prompt, prefix, .. } = request.message;
        let works = self.prefills.iter().map(|it| it.prefill_time(prompt, prefix));
        works.min().unwrap_or_default()
    }

    /// Returns the engines with capacity that give the earliest first token; `None` if no slot is free.
    fn choose_placement(&self, request: &QueuedRequest, now: Instant) -> Option<PlacementChoice> {
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
            if decode.used_slots() >= decode.batch_limit(request.per_token) {
                continue;
            }
            let transfer = duration_at_rate(bytes, decode.entry.link_bytes_per_s);
            let link_until = decode.link_available_at.max(ready) + transfer;
            let far = decode.entry.failure_domain != prefill.entry.failure_domain;
            let penalty = if far { DOMAIN_PENALTY } else { Duration::ZERO };
            let first_token = link_until + decode.step_time(decode.used_slots() + 1) + penalty;
            if best.as_ref().is_none_or(|it| first_token < it.first_token) {
                best = Some(PlacementChoice {
                    prefill: index,
                    decode: Name::clone(name),
                    start: if message.prefilled.is_some() {
                        now
                    } else {
                        prefill.available_at.max(now)
                    },
                    ready,
                    link_until,
                    first_token,
                });
            }
        }
        best
    }

    /// Returns the engine that finishes the prompt first, and when.
    fn choose_prefill(&self, message: &ReserveMessage, now: Instant) -> Option<(usize, Instant)> {
        let mut engines = self.prefills.iter().enumerate();
        if let Some(name) = &message.prefilled {
            let (index, _) = engines.find(|(_, it)| it.entry.name == *name)?;
            return Some((index, now));
        }
        engines
            .filter(|(_, it)| it.is_usable(now) && !message.avoid.contains(&it.entry.name))
            .map(|(index, it)| {
                let work = it.prefill_time(message.prompt, message.prefix);
                (index, it.available_at.max(now) + work)
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
        self.service.record(request.priority, request.cost, now);
        let message = request.message;
        let prefill = &mut self.prefills[choice.prefill];
        if message.prefilled.is_none() {
            prefill.available_at = choice.ready;
        }
        let prefill_name = Name::clone(&prefill.entry.name);
        let decode = self.decodes.get_mut(&choice.decode)?;
        decode.link_available_at = choice.link_until;
        let reservation = SlotReservation {
            prefill: Name::clone(&prefill_name),
            granted_at: now,
            last_listed: now,
            prompt: message.prompt,
            prefix: message.prefix,
        };
        decode.reservations.insert(message.stream.clone(), reservation);
        self.placements.insert(message.stream.clone(), Name::clone(&choice.decode));
        let grant = PlacementGrant { prefill: prefill_name, decode: Name::clone(&choice.decode) };
        Some(ReserveAnswer { stream: message.stream, grant: Some(grant), refusal: None })
    }

    pub(crate) fn reject(
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

    /// Predicts when a queued request gets its first token, given the work ahead of it.
    fn predict_first_token(
        &self,
        ahead: &WorkAhead,
        request: &QueuedRequest,
        now: Instant,
    ) -> Instant {
        let usable = self.prefills.iter().filter(|it| it.is_usable(now));
        let (mut engines, mut backlog) = (0_u32, ahead.prefill);
        for prefill in usable {
            engines += 1;
            backlog += prefill.available_at.saturating_duration_since(now);
        }
        let prefill_wait = backlog / engines.max(1);
        let held = u32::try_from(self.placements.len()).unwrap_or(u32::MAX);
        let free = self.free_slots(request.per_token, now);
        let missing_slots = (ahead.requests + 1).saturating_sub(free);
        let slot_wait = self.mean_slot_time * missing_slots / held.max(1);
        // Requests of higher classes that arrive in the meantime are served first.
        let wait = self.service.scale_wait(request.priority, prefill_wait.max(slot_wait));
        let bytes = request.message.prompt * self.pool.kv_bytes_per_token;
        let after = self.decodes.values().next().map_or(Duration::ZERO, |it| {
            duration_at_rate(bytes, it.entry.link_bytes_per_s) + it.step_time(it.used_slots())
        });
        now + wait + self.min_prefill_time(request) + after
    }

    fn free_slots(&self, per_token: Duration, now: Instant) -> u32 {
        let usable = self.decodes.values().filter(|it| it.is_usable(now));
        usable.map(|it| it.batch_limit(per_token).saturating_sub(it.used_slots())).sum()
    }
}
