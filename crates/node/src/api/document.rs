//! JSON documents of completions in the format of the `OpenAI` API.

use endpoint::Usage;
use kernel::request::Id;
use serde_json::{Value, json};

use super::prompt::Kind;

/// Builds the JSON documents of one completion.
pub(super) struct Builder {
    pub id: Id,
    /// Arrival of the request, in seconds since the Unix epoch.
    pub created: u64,
    pub model: String,
    pub kind: Kind,
    /// Maximum number of answer tokens; an answer of this length has the finish reason `length`.
    pub max_tokens: u64,
}

/// A complete answer.
pub(super) struct Completion {
    pub text: String,
    pub usage: Usage,
}

/// Formats token counts as the `usage` object.
fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.answer_tokens,
        "total_tokens": usage.prompt_tokens + usage.answer_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

impl Builder {
    /// The fields that all documents share, with a single choice.
    fn document(&self, object: &str, choice: &Value) -> Value {
        let prefix = match self.kind {
            Kind::Chat => "chatcmpl",
            Kind::Text => "cmpl",
        };
        json!({
            "id": format!("{prefix}-{}", self.id),
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// Returns the value of `finish_reason`.
    const fn finish_reason(&self, usage: Usage) -> &'static str {
        if usage.answer_tokens >= self.max_tokens {
            "length"
        } else {
            "stop"
        }
    }

    /// Builds the document of a non-streamed completion.
    pub fn completion(&self, completion: &Completion) -> Value {
        let finish = self.finish_reason(completion.usage);
        let (object, choice) = match self.kind {
            Kind::Chat => {
                let message = json!({ "role": "assistant", "content": completion.text });
                (
                    "chat.completion",
                    json!({ "index": 0, "message": message, "finish_reason": finish }),
                )
            }
            Kind::Text => (
                "text_completion",
                json!({ "index": 0, "text": completion.text, "finish_reason": finish }),
            ),
        };
        let mut document = self.document(object, &choice);
        document["usage"] = usage_json(completion.usage);
        document
    }

    /// Builds the chunk for a piece of text; the `first` chunk of a chat also carries the role.
    pub fn chunk(&self, text: &str, first: bool) -> Value {
        match self.kind {
            Kind::Chat if first => {
                let delta = json!({ "role": "assistant", "content": text });
                self.chunk_with(&json!({ "index": 0, "delta": delta, "finish_reason": null }))
            }
            Kind::Chat => {
                let delta = json!({ "content": text });
                self.chunk_with(&json!({ "index": 0, "delta": delta, "finish_reason": null }))
            }
            Kind::Text => {
                self.chunk_with(&json!({ "index": 0, "text": text, "finish_reason": null }))
            }
        }
    }

    fn chunk_with(&self, choice: &Value) -> Value {
        let object = match self.kind {
            Kind::Chat => "chat.completion.chunk",
            Kind::Text => "text_completion",
        };
        self.document(object, choice)
    }

    /// Builds the chunk that carries the finish reason and, on request, the usage.
    pub fn last_chunk(&self, usage: Usage, include_usage: bool) -> Value {
        let finish = self.finish_reason(usage);
        let choice = match self.kind {
            Kind::Chat => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            Kind::Text => json!({ "index": 0, "text": "", "finish_reason": finish }),
        };
        let mut document = self.chunk_with(&choice);
        if include_usage {
            document["usage"] = usage_json(usage);
        }
        document
    }
}
