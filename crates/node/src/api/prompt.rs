//! Parses the bodies of chat and text completion requests.

use kernel::outcome::Refusal;
use serde::Deserialize;

/// Maximum number of answer tokens if the request sets no limit.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// The completion API that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Chat,
    Text,
}

impl Kind {
    pub const CHAT_PATH: &'static str = "/v1/chat/completions";
    pub const TEXT_PATH: &'static str = "/v1/completions";

    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => Self::CHAT_PATH,
            Self::Text => Self::TEXT_PATH,
        }
    }

    /// The kind served at `path`; any path but the chat path counts as text.
    pub fn from_path(path: &str) -> Self {
        if path == Self::CHAT_PATH {
            Self::Chat
        } else {
            Self::Text
        }
    }
}

/// A parsed completion request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Prompt {
    pub kind: Kind,
    pub model: String,
    /// Adapter from a model name of the form `model:adapter`.
    pub adapter: Option<String>,
    /// The prompt, or the messages of a chat joined to one text.
    pub text: String,
    /// Maximum number of answer tokens.
    pub answer_tokens: u64,
    pub stream: bool,
    pub include_usage: bool,
}

/// The JSON body of a request; fields that are not listed are ignored.
#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    prompt: Option<Text>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u64>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Text>,
}

/// Text as one string or as a list of parts.
#[derive(Deserialize)]
#[serde(untagged)]
enum Text {
    Whole(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Part {
    Plain(String),
    Typed { text: String },
}

impl Text {
    fn into_string(self) -> String {
        match self {
            Self::Whole(text) => text,
            Self::Parts(parts) => parts.into_iter().map(Part::into_string).collect(),
        }
    }
}

impl Part {
    fn into_string(self) -> String {
        match self {
            Self::Plain(text) | Self::Typed { text } => text,
        }
    }
}

fn invalid(what: &str, remedy: &str) -> Refusal {
    Refusal::Invalid(what.to_owned(), remedy.to_owned())
}

/// Parses the body of a completion request.
///
/// Fails with `Invalid` if the JSON does not fit, the prompt is empty, `n` is not 1, or the token
/// limit is 0.
pub(super) fn parse(kind: Kind, body: &[u8]) -> Result<Prompt, Refusal> {
    let body: Body = serde_json::from_slice(body).map_err(|error| {
        let what = format!("the body is not a completion request: {error}");
        Refusal::Invalid(what, "correct the JSON".to_owned())
    })?;
    if body.n.is_some_and(|count| count != 1) {
        return Err(invalid(
            "n is not 1",
            "ask for one choice and repeat the request for more",
        ));
    }
    let (model, adapter) = match body.model.split_once(':') {
        Some((model, adapter)) => (model.to_owned(), Some(adapter.to_owned())),
        None => (body.model, None),
    };
    let text = match kind {
        Kind::Chat => join_messages(body.messages)?,
        Kind::Text => body.prompt.map(Text::into_string).unwrap_or_default(),
    };
    if text.is_empty() {
        return Err(invalid("the prompt is empty", "send some text"));
    }
    let answer_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_ANSWER_TOKENS);
    if answer_tokens == 0 {
        return Err(invalid("max_tokens is 0", "ask for 1 or more"));
    }
    Ok(Prompt {
        kind,
        model,
        adapter,
        text,
        answer_tokens,
        stream: body.stream.unwrap_or(false),
        include_usage: body
            .stream_options
            .is_some_and(|options| options.include_usage),
    })
}

/// Joins the messages of a chat to one text with a line `role: content` for each.
fn join_messages(messages: Vec<Message>) -> Result<String, Refusal> {
    if messages.is_empty() {
        return Err(invalid("there are no messages", "send at least one"));
    }
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content.map(Text::into_string).unwrap_or_default());
        text.push('\n');
    }
    Ok(text)
}
