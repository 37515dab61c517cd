//! The JSON documents of an answer, as the `OpenAI` interface has them.

use endpoint::Usage;
use kernel::request::Id;
use serde_json::{Value, json};

use super::prompt::Kind;

/// What all documents of an answer have in common.
pub(super) struct Builder {
    pub id: Id,
    pub created: u64,
    pub model: String,
    pub kind: Kind,
    /// Most tokens to answer.
    pub max_tokens: u64,
}

/// An answer that arrived whole.
pub(super) struct Completion {
    pub text: String,
    pub usage: Usage,
}

fn usage_json(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.answer_tokens,
        "total_tokens": usage.prompt_tokens + usage.answer_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

impl Builder {
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

    /// Why the answer ended, in the words of the interface.
    const fn finish_reason(&self, usage: Usage) -> &'static str {
        if usage.answer_tokens >= self.max_tokens {
            "length"
        } else {
            "stop"
        }
    }

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
