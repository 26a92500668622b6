//! The `OpenAI` forms of requests and answers.

use serde::Deserialize;
use serde_json::{Value, json};

use dillspool_schema::Name;

/// Output tokens of a request that names no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Which form a caller used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiForm {
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

/// A model request in one form.
#[derive(Clone, Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) form: ApiForm,
    pub(crate) model: Name,
    pub(crate) prompt: Name,
    pub(crate) max_tokens: u64,
    pub(crate) stream: bool,
}

impl GenerationRequest {
    /// Parses a body; the error says what to correct.
    pub(crate) fn parse(form: ApiForm, body: &[u8]) -> Result<Self, String> {
        let body: RequestBody = serde_json::from_slice(body)
            .map_err(|error| format!("the body is no valid request: {error}; correct it"))?;
        if body.n.is_some_and(|n| n != 1) {
            return Err("`n` other than 1 is not offered: send one request for each".to_owned());
        }
        let prompt = match form {
            ApiForm::Chat => {
                let Some(messages) = body.messages else {
                    return Err("`messages` is missing: give at least one".to_owned());
                };
                chat_prompt(&messages)
            }
            ApiForm::Text => match body.prompt {
                Some(prompt) => prompt,
                None => return Err("`prompt` is missing: give a text".to_owned()),
            },
        };
        let max_tokens = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        if max_tokens == 0 {
            return Err("`max_tokens` is 0: give at least 1".to_owned());
        }
        Ok(Self {
            form,
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

/// What the answers of one request have in common.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    form: ApiForm,
    /// Start of every event up to its choice, so that a token costs one small text.
    chunk_start: String,
    id: String,
    model: Name,
    /// Unix time in seconds.
    created: u64,
}

impl AnswerHead {
    pub(crate) fn new(form: ApiForm, id: String, model: Name, created: u64) -> Self {
        let object = match form {
            ApiForm::Chat => "chat.completion.chunk",
            ApiForm::Text => "text_completion",
        };
        let shown = serde_json::to_string(&model).unwrap_or_default();
        let chunk_start = format!(
            "{{\"id\":\"{id}\",\"object\":\"{object}\",\"created\":{created},\"model\":{shown},\
             \"choices\":[{{\"index\":0,"
        );
        Self { form, chunk_start, id, model, created }
    }

    /// One event of a streamed answer that carries a token.
    pub(crate) fn token_chunk(&self, text: &str) -> String {
        let text = serde_json::to_string(text).unwrap_or_default();
        let start = &self.chunk_start;
        match self.form {
            ApiForm::Chat => format!(
                "{start}\"delta\":{{\"role\":\"assistant\",\"content\":{text}}},\"finish_reason\":null}}]}}"
            ),
            ApiForm::Text => format!("{start}\"text\":{text},\"finish_reason\":null}}]}}"),
        }
    }

    /// The event that ends a streamed answer.
    pub(crate) fn last_chunk(&self, finish: &str) -> String {
        let finish = serde_json::to_string(finish).unwrap_or_default();
        let part = match self.form {
            ApiForm::Chat => "\"delta\":{}",
            ApiForm::Text => "\"text\":\"\"",
        };
        format!("{}{part},\"finish_reason\":{finish}}}]}}", self.chunk_start)
    }

    /// A whole answer.
    pub(crate) fn whole(&self, text: &str, finish: &str, prompt: u64, output: u64) -> String {
        let (object, choice) = match self.form {
            ApiForm::Chat => {
                let message = json!({"role": "assistant", "content": text});
                let choice = json!({"index": 0, "message": message, "finish_reason": finish});
                ("chat.completion", choice)
            }
            ApiForm::Text => {
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

/// The list of models.
pub(crate) fn model_list<'a>(models: impl Iterator<Item = &'a Name>) -> String {
    let data: Vec<Value> = models
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "dillspool"}))
        .collect();
    json!({"object": "list", "data": data}).to_string()
}
