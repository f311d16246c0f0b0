//! Which service a request is for, and its path there.

use http::{Method, Uri};
use serde::Deserialize;

/// The path of the chat completions interface.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// Where a request goes, as far as its request line tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// A model service, which the body names.
    Chat,
    /// A path that no service can have.
    Nowhere,
    /// A plain service with the path and query behind its name.
    Plain {
        /// The service's name.
        service: String,
        /// Path and query at the back end.
        path: String,
    },
}

/// Reads the target off a request line.
pub(crate) fn target_of(method: &Method, uri: &Uri) -> Target {
    if uri.path() == CHAT_PATH && method == Method::POST {
        return Target::Chat;
    }
    let rest = uri.path().strip_prefix('/').unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() || service == "v1" {
        return Target::Nowhere;
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Target::Plain { service: service.to_owned(), path: format!("/{path}{query}") }
}

/// The members of a chat request that routing needs.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest {
    /// Names the service.
    pub(crate) model: String,
    /// The messages; their beginning decides about cached prefixes.
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    /// What it says, as text or as parts.
    #[serde(default)]
    pub(crate) content: serde_json::Value,
}

impl ChatRequest {
    /// Reads a chat request.
    ///
    /// Fails with what is wrong with the body.
    pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, String> {
        serde_json::from_slice(body).map_err(|e| format!("the body is no chat request: {e}"))
    }

    /// The text by which endpoints with a cached prefix are found: the first
    /// message, which holds a service's standing instructions.
    pub(crate) fn prefix(&self) -> Option<String> {
        self.messages.first().map(|message| message.content.to_string())
    }
}
