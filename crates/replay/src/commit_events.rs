//! Replay of events of the ranks' commit participants.

use lynxmount_group::{
    CommitParticipant, CommitRequest, CommitResponse, EngineState, MapNumber, ParticipantAction,
    RankNumber,
};
use serde_json::{Value, json};

use crate::{Event, Replayer};

/// Map that engines start with in a trace.
const INITIAL_MAP: MapNumber = 0;

pub(crate) fn apply(replayer: &mut Replayer, event: &Event) -> Result<Value, String> {
    let actions = match *event {
        Event::GateStarted { rank, ranks, step, log_end } => {
            let engine = EngineState { step, map: INITIAL_MAP, armed: None, released: None };
            replayer
                .participants
                .insert(rank, CommitParticipant::start(rank, ranks, engine, log_end));
            Vec::new()
        }
        Event::OrderedToArm { rank, fence, change, map, at, step } => participant(replayer, rank)?
            .on_request(CommitRequest::Arm { fencing_token: fence, change, map, at }, step),
        Event::HoldAnswered { rank, change, holds } => {
            participant(replayer, rank)?.on_hold_result(change, holds)
        }
        Event::Asked { rank, by, change } => participant(replayer, rank)?.on_query(by, change),
        Event::Voted { rank, from, change, has_armed } => {
            participant(replayer, rank)?.on_vote(from, change, has_armed)
        }
        _ => return Err("no event of a gate".to_owned()),
    };
    Ok(actions.iter().map(action_value).collect())
}

fn participant(
    replayer: &mut Replayer,
    rank: RankNumber,
) -> Result<&mut CommitParticipant, String> {
    replayer
        .participants
        .get_mut(&rank)
        .ok_or_else(|| format!("the gate of rank {rank} has not started"))
}

fn action_value(action: &ParticipantAction) -> Value {
    match action {
        ParticipantAction::Respond(response) => response_value(*response),
        ParticipantAction::QueryVote { rank, change } => {
            json!({ "ask": { "rank": rank, "change": change } })
        }
        ParticipantAction::Vote { rank, change, has_armed } => {
            json!({ "vote": { "rank": rank, "change": change, "has_armed": has_armed } })
        }
        ParticipantAction::Hold(armed) => {
            json!({ "hold": { "change": armed.change, "at": armed.at } })
        }
        ParticipantAction::Release { change, map } => {
            json!({ "release": { "change": change, "map": map } })
        }
        ParticipantAction::Fetch { map } => json!({ "fetch": { "map": map } }),
    }
}

fn response_value(response: CommitResponse) -> Value {
    match response {
        CommitResponse::Armed { change } => json!({ "armed": change }),
        CommitResponse::Fenced { by } => json!({ "fenced": by }),
        CommitResponse::Aborted { change } => json!({ "forgone": change }),
        CommitResponse::Staged { change } => json!({ "staged": change }),
    }
}
