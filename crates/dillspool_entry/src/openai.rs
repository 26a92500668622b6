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
    pub(crate) form: ApiForm,
    pub(crate) id: String,
    pub(crate) model: Name,
    /// Unix time in seconds.
    pub(crate) created: u64,
}

impl AnswerHead {
    /// One event of a streamed answer.
    pub(crate) fn chunk(&self, text: Option<&str>, finish: Option<&str>) -> String {
        let choice = match self.form {
            ApiForm::Chat => {
                let delta = text.map_or_else(
                    || json!({}),
                    |text| json!({"role": "assistant", "content": text}),
                );
                json!({"index": 0, "delta": delta, "finish_reason": finish})
            }
            ApiForm::Text => {
                json!({"index": 0, "text": text.unwrap_or(""), "finish_reason": finish})
            }
        };
        let object = match self.form {
            ApiForm::Chat => "chat.completion.chunk",
            ApiForm::Text => "text_completion",
        };
        self.body(object, &choice, None)
    }

    /// A whole answer.
    pub(crate) fn whole(&self, text: &str, finish: &str, prompt: u64, output: u64) -> String {
        let choice = match self.form {
            ApiForm::Chat => {
                let message = json!({"role": "assistant", "content": text});
                json!({"index": 0, "message": message, "finish_reason": finish})
            }
            ApiForm::Text => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        let object = match self.form {
            ApiForm::Chat => "chat.completion",
            ApiForm::Text => "text_completion",
        };
        let usage = json!({
            "prompt_tokens": prompt,
            "completion_tokens": output,
            "total_tokens": prompt + output,
        });
        self.body(object, &choice, Some(usage))
    }

    fn body(&self, object: &str, choice: &Value, usage: Option<Value>) -> String {
        let mut body = json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        });
        if let (Some(usage), Some(fields)) = (usage, body.as_object_mut()) {
            fields.insert("usage".to_owned(), usage);
        }
        body.to_string()
    }
}

/// The list of models.
pub(crate) fn model_list<'a>(models: impl Iterator<Item = &'a Name>) -> String {
    let data: Vec<Value> = models
        .map(|model| json!({"id": model, "object": "model", "created": 0, "owned_by": "dillspool"}))
        .collect();
    json!({"object": "list", "data": data}).to_string()
}
