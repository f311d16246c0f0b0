//! Events of the configuration.

use lynxmount_config::Acceptance;
use serde_json::{Value, json};

use crate::{Event, World};

pub(crate) fn play(world: &mut World, event: &Event) -> Result<Value, String> {
    match event {
        Event::ConfigRead { process, offset, record } => {
            let scope = scope_of(record);
            let acceptance =
                world.processes.entry(process.clone()).or_insert_with(|| Acceptance::new(scope));
            let verdict = acceptance.take(*offset, record);
            let version = acceptance.head().map(|head| head.offset);
            Ok(json!({ "verdict": verdict, "version": version }))
        }
        Event::ConfigFromPeer { process, peer } => {
            let head = world.processes.get(peer).and_then(Acceptance::head).cloned();
            let head = head.ok_or_else(|| format!("{peer} has no configuration"))?;
            let scope = head.fleet.scope.clone();
            let acceptance =
                world.processes.entry(process.clone()).or_insert_with(|| Acceptance::new(scope));
            let is_newer = acceptance.adopt(head);
            let version = acceptance.head().map(|head| head.offset);
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
