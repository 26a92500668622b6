//! Callers whose prompts have parts that other prompts share.

use std::time::Duration;

use dillspool_site_standin::PROMPT_PARTS;
use hyper::header::HeaderValue;
use tokio::time::Instant;

use super::{CALLERS, CallerReply, TestFleet, node};

/// Sends prompts with some parts in common, no two alike.
#[derive(Clone, Debug)]
pub struct PromptSource {
    pub path: &'static str,
    /// Parts that the prompts have before their own last one, one list for each prompt in turn.
    pub parts: &'static [&'static [&'static str]],
    pub interval: Duration,
    /// Hosts that the prompts come to in turn.
    pub hosts: Vec<usize>,
}

/// The reply to a prompt.
#[derive(Clone, Debug)]
pub struct PromptReply {
    /// Parts of the prompt but the last.
    pub parts: &'static [&'static str],
    pub host: usize,
    pub sent_at: Instant,
    pub reply: CallerReply,
}

impl PromptReply {
    /// Whether it was refused without a time to come back.
    pub fn is_final_refusal(&self) -> bool {
        self.reply.status == Some(503) && !self.reply.has_retry_after
    }
}

impl TestFleet {
    /// Sends a prompt from a caller to a host; the parts are named without their tokens.
    pub async fn send_prompt(
        &self,
        caller: usize,
        host: usize,
        path: &str,
        parts: &[&str],
    ) -> CallerReply {
        let (id, address, mut request) = self.request(host, path, "");
        let mut list: Vec<String> = parts.iter().map(|part| format!("{part}:20")).collect();
        list.push(format!("own-{id}:20"));
        let value = HeaderValue::from_str(&list.join(",")).expect("visible ASCII");
        request.headers_mut().insert(PROMPT_PARTS, value);
        let body = format!("prompt of {id}");
        *request.body_mut() = http_body_util::Full::new(body.into());
        self.exchange_from(node(3, caller), id, address, request).await
    }

    /// Sends prompts for a time and returns the replies in the order of sending.
    pub async fn send_prompts(&self, source: &PromptSource, span: Duration) -> Vec<PromptReply> {
        let count = usize::try_from(span.as_millis() / source.interval.as_millis()).expect("few");
        let callers = (0..count).map(|number| async move {
            tokio::time::sleep(source.interval * u32::try_from(number).expect("few")).await;
            let parts = source.parts[number % source.parts.len()];
            let host = source.hosts[number % source.hosts.len()];
            let sent_at = Instant::now();
            let reply = self.send_prompt(number % CALLERS, host, source.path, parts).await;
            PromptReply { parts, host, sent_at, reply }
        });
        futures_util::future::join_all(callers).await
    }
}
