//! Replay of events of the configuration's state machine.

use lynxmount_config::ConfigState;
use serde_json::{Value, json};

use crate::{Event, Replayer};

pub(crate) fn apply(replayer: &mut Replayer, event: &Event) -> Result<Value, String> {
    match event {
        Event::ConfigRead { process, offset, record } => {
            let scope = scope_of(record);
            let config_state = replayer
                .config_states
                .entry(process.clone())
                .or_insert_with(|| ConfigState::new(scope));
            let verdict = config_state.apply(*offset, record);
            let version = config_state.head().map(|head| head.offset);
            Ok(json!({ "verdict": verdict, "version": version }))
        }
        Event::ConfigFromPeer { process, peer } => {
            let head = replayer.config_states.get(peer).and_then(ConfigState::head).cloned();
            let head = head.ok_or_else(|| format!("{peer} has no configuration"))?;
            let scope = head.fleet.scope.clone();
            let config_state = replayer
                .config_states
                .entry(process.clone())
                .or_insert_with(|| ConfigState::new(scope));
            let is_newer = config_state.adopt_head(head);
            let version = config_state.head().map(|head| head.offset);
            Ok(json!({ "is_newer": is_newer, "version": version }))
        }
        _ => Err("no event of the configuration".to_owned()),
    }
}

fn scope_of(record: &lynxmount_config::ConfigRecord) -> String {
    use lynxmount_config::ConfigRecord;
    match record {
        ConfigRecord::Change(change) => change.scope.clone(),
        ConfigRecord::Snapshot(snapshot) => snapshot.scope.clone(),
    }
}
