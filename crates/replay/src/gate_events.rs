//! Events of the gates beside ranks.

use lynxmount_group::{
    CommitParticipant, CommitRequest, CommitResponse, EngineState, MapNumber, ParticipantAction,
    RankNumber,
};
use serde_json::{Value, json};

use crate::{Event, World};

/// The map that engines start with in a trace.
const FIRST_MAP: MapNumber = 0;

pub(crate) fn play(world: &mut World, event: &Event) -> Result<Value, String> {
    let actions = match *event {
        Event::GateStarted { rank, ranks, step, log_end } => {
            let engine = EngineState { step, map: FIRST_MAP, armed: None, released: None };
            world.gates.insert(rank, CommitParticipant::start(rank, ranks, engine, log_end));
            Vec::new()
        }
        Event::OrderedToArm { rank, fence, change, map, at, step } => gate(world, rank)?
            .on_request(CommitRequest::Arm { fencing_token: fence, change, map, at }, step),
        Event::HoldAnswered { rank, change, holds } => {
            gate(world, rank)?.on_hold_result(change, holds)
        }
        Event::Asked { rank, by, change } => gate(world, rank)?.on_query(by, change),
        Event::Voted { rank, from, change, has_armed } => {
            gate(world, rank)?.on_vote(from, change, has_armed)
        }
        _ => return Err("no event of a gate".to_owned()),
    };
    Ok(actions.iter().map(action_value).collect())
}

fn gate(world: &mut World, rank: RankNumber) -> Result<&mut CommitParticipant, String> {
    world.gates.get_mut(&rank).ok_or_else(|| format!("the gate of rank {rank} has not started"))
}

fn action_value(action: &ParticipantAction) -> Value {
    match action {
        ParticipantAction::Respond(answer) => answer_value(*answer),
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

fn answer_value(answer: CommitResponse) -> Value {
    match answer {
        CommitResponse::Armed { change } => json!({ "armed": change }),
        CommitResponse::Fenced { by } => json!({ "fenced": by }),
        CommitResponse::Aborted { change } => json!({ "forgone": change }),
        CommitResponse::Staged { change } => json!({ "staged": change }),
    }
}
