//! Replay of events of requests and their attempts.

use lynxmount_policy::{RetryDecision, RetryState};
use serde_json::{Value, json};

use crate::{Event, Replayer};

pub(crate) fn apply(replayer: &mut Replayer, event: &Event) -> Result<Value, String> {
    match event {
        Event::RequestBegan {
            request,
            max_attempts,
            wait_until_ms,
            deadline_ms,
            is_idempotent,
        } => {
            let retry =
                RetryState::new(*max_attempts, *wait_until_ms, *deadline_ms, *is_idempotent);
            replayer.retry_states.insert(request.clone(), retry);
            Ok(Value::Null)
        }
        Event::AttemptEnded { request, end, at_ms, has_budget } => {
            let retry = replayer.retry_states.get_mut(request);
            let retry = retry.ok_or_else(|| format!("request {request} has not begun"))?;
            Ok(decision_value(retry.on_attempt_failed(*end, *at_ms, || *has_budget)))
        }
        _ => Err("no event of requests".to_owned()),
    }
}

fn decision_value(decision: RetryDecision) -> Value {
    match decision {
        RetryDecision::GiveUp(failure) => {
            json!({ "give_up": { "outcome": failure.outcome, "reason": failure.reason } })
        }
        RetryDecision::Retry => json!("try-again"),
    }
}
