//! Parses the target of a request: its service and the path at the service.

use http::{Method, Uri};
use serde::Deserialize;

/// The path of the chat completions API.
pub(crate) const CHAT_PATH: &str = "/v1/chat/completions";

/// The target of a request, as far as its request line determines it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Target {
    /// A model service, named in the body.
    Chat,
    /// A path that cannot belong to a service.
    Unroutable,
    /// A plain service, named by the first segment of the path.
    Plain {
        /// The id of the service.
        service: String,
        /// The remaining path and the query, for the back end.
        path: String,
    },
}

/// Parses the target from a request line.
pub(crate) fn parse_target(method: &Method, uri: &Uri) -> Target {
    if uri.path() == CHAT_PATH && method == Method::POST {
        return Target::Chat;
    }
    let path = uri.path().strip_prefix('/').unwrap_or_default();
    let (service, path) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() || service == "v1" {
        return Target::Unroutable;
    }
    let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    Target::Plain { service: service.to_owned(), path: format!("/{path}{query}") }
}

/// The fields of a chat request that routing needs.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatRequest {
    /// The id of the service.
    pub(crate) model: String,
    /// The messages; the first is the key for prefix affinity.
    #[serde(default)]
    pub(crate) messages: Vec<ChatMessage>,
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatMessage {
    /// The content, as text or as a list of parts.
    #[serde(default)]
    pub(crate) content: serde_json::Value,
}

impl ChatRequest {
    /// Parses a chat request.
    ///
    /// Fails with a description of the error.
    pub(crate) fn parse(body: &[u8]) -> Result<ChatRequest, String> {
        serde_json::from_slice(body).map_err(|e| format!("the body is no chat request: {e}"))
    }

    /// The key for prefix affinity: the first message, which holds the system prompt.
    pub(crate) fn prefix(&self) -> Option<String> {
        self.messages.first().map(|message| message.content.to_string())
    }
}
