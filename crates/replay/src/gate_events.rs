//! Events of the gates beside ranks.

use lynxmount_group::{
    EngineState, GateAction, MapNumber, Order, OrderAnswer, RankGate, RankNumber,
};
use serde_json::{Value, json};

use crate::{Event, World};

/// The map that engines start with in a trace.
const FIRST_MAP: MapNumber = 0;

pub(crate) fn play(world: &mut World, event: &Event) -> Result<Value, String> {
    let actions = match *event {
        Event::GateStarted { rank, ranks, step, log_end } => {
            let engine = EngineState { step, map: FIRST_MAP, armed: None, released: None };
            world.gates.insert(rank, RankGate::start(rank, ranks, engine, log_end));
            Vec::new()
        }
        Event::OrderedToArm { rank, fence, change, map, at, step } => {
            gate(world, rank)?.order(Order::Arm { fence, change, map, at }, step)
        }
        Event::HoldAnswered { rank, change, holds } => {
            gate(world, rank)?.hold_answered(change, holds)
        }
        Event::Asked { rank, by, change } => gate(world, rank)?.asked(by, change),
        Event::Voted { rank, from, change, has_armed } => {
            gate(world, rank)?.vote(from, change, has_armed)
        }
        _ => return Err("no event of a gate".to_owned()),
    };
    Ok(actions.iter().map(action_value).collect())
}

fn gate(world: &mut World, rank: RankNumber) -> Result<&mut RankGate, String> {
    world.gates.get_mut(&rank).ok_or_else(|| format!("the gate of rank {rank} has not started"))
}

fn action_value(action: &GateAction) -> Value {
    match action {
        GateAction::Answer(answer) => answer_value(*answer),
        GateAction::Ask { rank, change } => json!({ "ask": { "rank": rank, "change": change } }),
        GateAction::Vote { rank, change, has_armed } => {
            json!({ "vote": { "rank": rank, "change": change, "has_armed": has_armed } })
        }
        GateAction::Hold(armed) => json!({ "hold": { "change": armed.change, "at": armed.at } }),
        GateAction::Release { change, map } => {
            json!({ "release": { "change": change, "map": map } })
        }
        GateAction::Fetch { map } => json!({ "fetch": { "map": map } }),
    }
}

fn answer_value(answer: OrderAnswer) -> Value {
    match answer {
        OrderAnswer::Armed { change } => json!({ "armed": change }),
        OrderAnswer::Fenced { by } => json!({ "fenced": by }),
        OrderAnswer::Forgone { change } => json!({ "forgone": change }),
        OrderAnswer::Staged { change } => json!({ "staged": change }),
    }
}
