//! Messages between a host and a scheduler, and their conversions.

use std::time::Duration;

use dillspool_admission::{
    EngineFault, PlacementDecision, PlacementRejection, PlacementRequest, StreamEnd,
    StreamPlacement, WorkClass,
};
use dillspool_limits::{LimitRate, RateVersion, SpendDecision, SpendRequest};
use dillspool_moment::Moment;
use dillspool_part::ClassSubset;
use dillspool_routing::{BackendInstance, BackendStart, MAX_TOKENS, SoftwareVersion};
use dillspool_schema::Name;
use dillspool_schema::schedule::{
    ScheduleCause, ScheduleClass, ScheduleDecision, ScheduleEvent, ScheduleMessage, ScheduleNote,
    SchedulePart, SchedulePlacement, ScheduleRequest, ScheduleSpend, ScheduleSpent,
    ScheduleTurnAway,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::placement_scheduler::PlacementEvent;

/// Hosts of other protocol versions are not served and decide by themselves.
pub(crate) const PROTOCOL_VERSION: u32 = 6;
/// A request, the largest message, names at most a few dozen engines.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Why a link to a scheduler closed.
#[derive(Debug, Snafu)]
pub enum ScheduleError {
    /// The other side has closed the link or does not respond.
    #[snafu(display("link closed: {reason}; trying another scheduler"))]
    LinkClosed {
        /// What closed it.
        reason: String,
    },
    /// A message could not be encoded or decoded.
    #[snafu(display("malformed message: {reason}; all hosts must run the same version"))]
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
        .read_buffer_size(4 * 1024)
        .write_buffer_size(0)
}

pub(crate) fn encode(message: &impl Serialize) -> Result<Message, ScheduleError> {
    let mut bytes = Vec::with_capacity(256);
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => Ok(Message::Binary(bytes.into())),
        Err(error) => MalformedSnafu { reason: error.to_string() }.fail(),
    }
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ScheduleError> {
    match ciborium::from_reader(bytes) {
        Ok(message) => Ok(message),
        Err(error) => MalformedSnafu { reason: error.to_string() }.fail(),
    }
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

pub(crate) fn request_to_wire(request: &PlacementRequest) -> ScheduleRequest {
    ScheduleRequest {
        class: match request.class {
            WorkClass::UnderWay => ScheduleClass::UnderWay,
            WorkClass::InTime => ScheduleClass::InTime,
            WorkClass::Late => ScheduleClass::Late,
        },
        workspace_priority: request.workspace_priority,
        priority: request.priority,
        domain: Name::clone(&request.failure_domain),
        prompt: request.prompt_tokens,
        guess: request.estimated_tokens,
        most: request.max_tokens,
        objective_ms: millis(request.objective_left),
        patience_ms: millis(request.max_wait),
        left_ms: millis(request.time_left),
        pause_ms: request.max_event_gap.map(millis),
        excluded: request.excluded.clone(),
        refusals: u32::try_from(request.refusals).unwrap_or(u32::MAX),
        part: request
            .subset
            .map(|subset| SchedulePart { seed: subset.seed, bits: subset.sampling_bits }),
        software: request.software.as_ref().map(|software| Name::clone(&software.0)),
    }
}

pub(crate) fn request_from_wire(request: ScheduleRequest) -> PlacementRequest {
    PlacementRequest {
        class: match request.class {
            ScheduleClass::UnderWay => WorkClass::UnderWay,
            ScheduleClass::InTime => WorkClass::InTime,
            ScheduleClass::Late => WorkClass::Late,
        },
        workspace_priority: request.workspace_priority,
        priority: request.priority,
        failure_domain: request.domain,
        prompt_tokens: request.prompt.min(MAX_TOKENS),
        estimated_tokens: request.guess.min(MAX_TOKENS),
        max_tokens: request.most.min(MAX_TOKENS),
        objective_left: Duration::from_millis(request.objective_ms),
        max_wait: Duration::from_millis(request.patience_ms),
        time_left: Duration::from_millis(request.left_ms),
        max_event_gap: request.pause_ms.map(Duration::from_millis),
        excluded: request.excluded,
        refusals: request.refusals as usize,
        subset: request
            .part
            .map(|subset| ClassSubset { seed: subset.seed, sampling_bits: subset.bits }),
        software: request.software.map(SoftwareVersion),
    }
}

pub(crate) fn placement_to_wire(placement: StreamPlacement) -> SchedulePlacement {
    SchedulePlacement {
        decode: placement.decode_engine,
        reserve: placement.reserve_tokens,
        prefill: placement.prefill_engine,
    }
}

pub(crate) fn placement_from_wire(placement: SchedulePlacement) -> StreamPlacement {
    StreamPlacement {
        decode_engine: placement.decode,
        reserve_tokens: placement.reserve,
        prefill_engine: placement.prefill,
    }
}

/// Encodes a decision. A message with neither placement nor rejection says that the request waits.
pub(crate) fn decision_to_wire(ticket: u64, decision: PlacementDecision) -> ScheduleMessage {
    let mut message = ScheduleDecision { ticket, placement: None, turned_away: None };
    match decision {
        PlacementDecision::Place(placement) => {
            message.placement = Some(placement_to_wire(placement));
        }
        PlacementDecision::Wait => {}
        PlacementDecision::Reject { cause, retry_after } => {
            let cause = match cause {
                PlacementRejection::NoEngine => ScheduleCause::NoEngine,
                PlacementRejection::NoMemory => ScheduleCause::NoMemory,
                PlacementRejection::NoPrefill => ScheduleCause::NoPrefill,
                PlacementRejection::Refused => ScheduleCause::Refused,
            };
            message.turned_away =
                Some(ScheduleTurnAway { cause, come_back_ms: millis(retry_after) });
        }
    }
    ScheduleMessage::Decided(message)
}

pub(crate) fn decision_from_wire(message: ScheduleDecision) -> PlacementDecision {
    if let Some(placement) = message.placement {
        return PlacementDecision::Place(placement_from_wire(placement));
    }
    let Some(turned_away) = message.turned_away else { return PlacementDecision::Wait };
    let cause = match turned_away.cause {
        ScheduleCause::NoEngine => PlacementRejection::NoEngine,
        ScheduleCause::NoMemory => PlacementRejection::NoMemory,
        ScheduleCause::NoPrefill => PlacementRejection::NoPrefill,
        ScheduleCause::Refused => PlacementRejection::Refused,
    };
    let retry_after = Duration::from_millis(turned_away.come_back_ms);
    PlacementDecision::Reject { cause, retry_after }
}

pub(crate) fn event_to_wire(ticket: u64, event: PlacementEvent) -> ScheduleMessage {
    let mut message = ScheduleNote {
        ticket,
        event: ScheduleEvent::Ended,
        engine: None,
        engine_start: None,
        took_ms: None,
    };
    match event {
        PlacementEvent::Prefilled { took } => {
            message.event = ScheduleEvent::Prefilled;
            message.took_ms = Some(millis(took));
        }
        PlacementEvent::PrefilledLocally => message.event = ScheduleEvent::ReadsItself,
        PlacementEvent::Started => message.event = ScheduleEvent::Started,
        PlacementEvent::Fault { engine, fault } => {
            message.engine = Some(engine.id);
            message.engine_start = engine.start.map(|start| start.0);
            message.event = match fault {
                EngineFault::NoMemory => ScheduleEvent::NoMemory,
                EngineFault::PrefillRefused => ScheduleEvent::PrefillRefused,
                EngineFault::ReservedRequestRefused => ScheduleEvent::ReservedRefused,
                EngineFault::Unreachable => ScheduleEvent::Unreachable,
                EngineFault::NoResponse => ScheduleEvent::Silent,
                EngineFault::Failed => ScheduleEvent::Failed,
            };
        }
        PlacementEvent::Ended(end) => {
            message.took_ms = end.event_gap.map(millis);
            if end.is_complete {
                message.event = ScheduleEvent::EndedWhole;
            }
        }
    }
    ScheduleMessage::Note(message)
}

pub(crate) fn event_from_wire(message: ScheduleNote) -> PlacementEvent {
    let took = message.took_ms.map(Duration::from_millis);
    let engine = BackendInstance {
        id: message.engine.unwrap_or_default(),
        start: message.engine_start.map(BackendStart),
    };
    let fault = |fault| PlacementEvent::Fault { engine, fault };
    match message.event {
        ScheduleEvent::Prefilled => PlacementEvent::Prefilled { took: took.unwrap_or_default() },
        ScheduleEvent::ReadsItself => PlacementEvent::PrefilledLocally,
        ScheduleEvent::Started => PlacementEvent::Started,
        ScheduleEvent::EndedWhole => {
            PlacementEvent::Ended(StreamEnd { is_complete: true, event_gap: took })
        }
        ScheduleEvent::Ended => {
            PlacementEvent::Ended(StreamEnd { is_complete: false, event_gap: None })
        }
        ScheduleEvent::NoMemory => fault(EngineFault::NoMemory),
        ScheduleEvent::PrefillRefused => fault(EngineFault::PrefillRefused),
        ScheduleEvent::ReservedRefused => fault(EngineFault::ReservedRequestRefused),
        ScheduleEvent::Unreachable => fault(EngineFault::Unreachable),
        ScheduleEvent::Silent => fault(EngineFault::NoResponse),
        ScheduleEvent::Failed => fault(EngineFault::Failed),
    }
}

/// Encodes a request; the age of an observed rate is relative to `now`.
pub(crate) fn spend_to_wire(ticket: u64, request: &SpendRequest, now: Moment) -> ScheduleMessage {
    let (config, age_ms) = match request.version {
        RateVersion::Config(version) => (version, None),
        RateVersion::Heard(at) => (0, Some(millis(now.since(at)))),
    };
    ScheduleMessage::Spend(ScheduleSpend {
        ticket,
        subject: Name::clone(&request.subject),
        per_s: request.rate.per_s,
        burst: request.rate.burst,
        config,
        age_ms,
        amount: request.amount,
        rank: request.priority,
        before: request.unreported,
    })
}

/// Reply to a request with a number out of range. Without a reply, the host would look for another holder.
pub(crate) const ODD_SPEND_REFUSAL: SpendDecision =
    SpendDecision::Refused { come_back: Duration::from_secs(1) };

/// Whether a number of a message can be an amount or a rate. Any other would stay in the balance of a limit.
pub(crate) fn is_amount(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// Decodes a request that arrives at `now`; `None` if one of its numbers is out of range.
pub(crate) fn spend_from_wire(message: ScheduleSpend, now: Moment) -> Option<SpendRequest> {
    if ![message.per_s, message.burst, message.amount, message.before].into_iter().all(is_amount) {
        return None;
    }
    let version = match message.age_ms {
        None => RateVersion::Config(message.config),
        Some(age_ms) => RateVersion::Heard(now.saturating_sub(Duration::from_millis(age_ms))),
    };
    Some(SpendRequest {
        subject: message.subject,
        rate: LimitRate { per_s: message.per_s, burst: message.burst },
        version,
        amount: message.amount,
        priority: message.rank,
        unreported: message.before,
    })
}

pub(crate) fn spent_to_wire(ticket: u64, decision: SpendDecision) -> ScheduleMessage {
    let come_back_ms = match decision {
        SpendDecision::Allowed => None,
        SpendDecision::Refused { come_back } => Some(millis(come_back)),
    };
    ScheduleMessage::Spent(ScheduleSpent { ticket, come_back_ms })
}

pub(crate) fn spent_from_wire(message: &ScheduleSpent) -> SpendDecision {
    match message.come_back_ms {
        None => SpendDecision::Allowed,
        Some(ms) => SpendDecision::Refused { come_back: Duration::from_millis(ms) },
    }
}
