//! `OpenAI` formats of requests and responses.

use serde::Deserialize;
use serde_json::{Value, json};

use dillspool_schema::Name;

/// Output token limit of a request that sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Endpoint that a caller used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiEndpoint {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Text,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    content: Option<ChatContent>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    text: Option<String>,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    model: String,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    n: Option<u64>,
}

/// A model request, independent of the endpoint's format.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) endpoint: ApiEndpoint,
    pub(crate) model: Name,
    pub(crate) prompt: Name,
    pub(crate) max_tokens: u64,
    pub(crate) stream: bool,
}

impl GenerationRequest {
    /// Parses a request body; the error says what to correct.
    pub(crate) fn parse(endpoint: ApiEndpoint, body: &[u8]) -> Result<Self, String> {
        let body: RequestBody = serde_json::from_slice(body)
            .map_err(|error| format!("the request body is invalid: {error}; correct it"))?;
        if body.n.is_some_and(|n| n != 1) {
            return Err("`n` must be 1: send a separate request for each completion".to_owned());
        }
        let prompt = match endpoint {
            ApiEndpoint::Chat => {
                let Some(messages) = body.messages else {
                    return Err("`messages` is missing: provide at least one".to_owned());
                };
                chat_prompt(&messages)
            }
            ApiEndpoint::Text => match body.prompt {
                Some(prompt) => prompt,
                None => return Err("`prompt` is missing: provide a string".to_owned()),
            },
        };
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err("`max_tokens` is 0: it must be at least 1".to_owned());
        }
        Ok(Self {
            endpoint,
            model: body.model.into(),
            prompt: prompt.into(),
            max_tokens,
            stream: body.stream,
        })
    }
}

fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match &message.content {
            Some(ChatContent::Text(text)) => prompt.push_str(text),
            Some(ChatContent::Parts(parts)) => {
                parts.iter().filter_map(|part| part.text.as_deref()).for_each(|text| {
                    prompt.push_str(text);
                });
            }
            None => {}
        }
        prompt.push('\n');
    }
    prompt
}

/// Encodes the responses of one request in the format of its endpoint.
#[derive(Clone, Debug)]
pub(crate) struct CompletionEncoder {
    endpoint: ApiEndpoint,
    /// JSON of every event up to its choice, built once so that a token costs one short string.
    chunk_start: String,
    id: String,
    model: Name,
    /// Unix time in seconds.
    created: u64,
}

impl CompletionEncoder {
    pub(crate) fn new(endpoint: ApiEndpoint, id: String, model: Name, created: u64) -> Self {
        let object = match endpoint {
            ApiEndpoint::Chat => "chat.completion.chunk",
            ApiEndpoint::Text => "text_completion",
        };
        let model_json = serde_json::to_string(&model).unwrap_or_default();
        let chunk_start = format!(
            "{{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{model_json},\
             \"choices\":[{{\"index\":0,"
        );
        Self { endpoint, chunk_start, id, model, created }
    }

    /// Event of a streamed response that carries a token.
    pub(crate) fn token_chunk(&self, text: &str) -> String {
        let text = serde_json::to_string(text).unwrap_or_default();
        let start = &self.chunk_start;
        match self.endpoint {
            ApiEndpoint::Chat => format!(
                "{start}\"delta\":{{\"role\":\"assistant\",\"content\":{text}}},\"finish_reason\":null}}]}}"
            ),
            ApiEndpoint::Text => format!("{start}\"text\":{text},\"finish_reason\":null}}]}}"),
        }
    }

    /// Last event of a streamed response.
    pub(crate) fn last_chunk(&self, finish: &str) -> String {
        let finish = serde_json::to_string(finish).unwrap_or_default();
        let delta = match self.endpoint {
            ApiEndpoint::Chat => "\"delta\":{}",
            ApiEndpoint::Text => "\"text\":\"\"",
        };
        format!("{}{delta},\"finish_reason\":{finish}}}]}}", self.chunk_start)
    }

    /// Body of a response that is not streamed.
    pub(crate) fn full_response(
        &self,
        text: &str,
        finish: &str,
        prompt: u64,
        output: u64,
    ) -> String {
        let (object, choice) = match self.endpoint {
            ApiEndpoint::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": finish});
                ("chat.completion", choice)
            }
            ApiEndpoint::Text => {
                let choice = json!({"index": 0, "text": text, "finish_reason": finish});
                ("text_completion", choice)
            }
        };
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt,
                "completion_tokens": output,
                "total_tokens": prompt + output,
            },
        })
        .to_string()
    }
}

/// Body of the model list.
pub(crate) fn model_list<'a>(models: impl Iterator<Item = &'a Name>) -> String {
    let data: Vec<Value> = models
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "dillspool"}))
        .collect();
    json!({"object": "list", "data": data}).to_string()
}
