//! Events of requests and their attempts.

use lynxmount_policy::{RetryDecision, RetryState};
use serde_json::{Value, json};

use crate::{Event, World};

pub(crate) fn play(world: &mut World, event: &Event) -> Result<Value, String> {
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
            world.requests.insert(request.clone(), retry);
            Ok(Value::Null)
        }
        Event::AttemptEnded { request, end, at_ms, has_budget } => {
            let retry = world.requests.get_mut(request);
            let retry = retry.ok_or_else(|| format!("request {request} has not begun"))?;
            Ok(next_value(retry.on_attempt_failed(*end, *at_ms, || *has_budget)))
        }
        _ => Err("no event of requests".to_owned()),
    }
}

fn next_value(next: RetryDecision) -> Value {
    match next {
        RetryDecision::GiveUp(give_up) => {
            json!({ "give_up": { "outcome": give_up.outcome, "reason": give_up.reason } })
        }
        RetryDecision::Retry => json!("try-again"),
    }
}
