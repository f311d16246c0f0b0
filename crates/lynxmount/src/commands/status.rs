//! `lynxmount status`.

use std::net::SocketAddr;

use clap::ArgMatches;
use futures::future::join_all;
use lynxmount_config::Fleet;
use lynxmount_core::{Error, Offset, ProcessId};
use lynxmount_node::{ControlClient, ProcessStatus, Readiness};
use serde::Serialize;

use crate::{Exit, commands::operator::Operator, table::OutputFormat};

/// A process of the fleet and its control address.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) id: ProcessId,
    pub(crate) control_address: SocketAddr,
}

/// The status of one process, or the error of asking it.
#[derive(Debug, Serialize)]
pub(crate) struct StatusRow {
    pub(crate) process: ProcessId,
    #[serde(flatten)]
    pub(crate) status: Option<ProcessStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
}

impl StatusRow {
    /// Returns whether the process has this version or a newer one in force.
    pub(crate) fn is_at(&self, version: Offset) -> bool {
        let in_force = self.status.as_ref().and_then(|status| status.config_version);
        in_force.is_some_and(|in_force| in_force >= version)
    }
}

/// Lists all processes of a fleet.
pub(crate) fn fleet_members(fleet: &Fleet) -> Vec<Member> {
    let entries = fleet.entries.iter().map(|e| (&e.id, e.control_address));
    let endpoints = fleet.endpoints.iter().map(|e| (&e.id, e.control_address));
    entries
        .chain(endpoints)
        .map(|(id, control_address)| Member { id: id.clone(), control_address })
        .collect()
}

/// Queries all processes concurrently.
pub(crate) async fn query_all(members: &[Member]) -> Vec<StatusRow> {
    join_all(members.iter().map(query)).await
}

async fn query(member: &Member) -> StatusRow {
    let response = match ControlClient::new(member.control_address) {
        Ok(client) => client.status().await,
        Err(error) => Err(error),
    };
    status_row(member, response)
}

fn status_row(member: &Member, response: Result<ProcessStatus, Error>) -> StatusRow {
    let process = member.id.clone();
    match response {
        Ok(status) if status.process_id == process => {
            StatusRow { process, status: Some(status), error: None }
        }
        Ok(status) => {
            let error = format!("{} answers there", status.process_id);
            StatusRow { process, status: None, error: Some(error) }
        }
        Err(error) => StatusRow { process, status: None, error: Some(error.to_string()) },
    }
}

/// Prints the status of every process of the fleet in force.
pub(crate) async fn run(matches: &ArgMatches, format: OutputFormat) -> anyhow::Result<Exit> {
    let Some(operator) = Operator::from_matches(matches, format)? else { return Ok(Exit::Invalid) };
    let log = operator.config_log().await?;
    let Some(head) = log.config_state.head() else {
        eprintln!("lynxmount: no fleet file was ever accepted for {}", operator.settings.scope);
        return Ok(Exit::Failed);
    };
    let rows = query_all(&fleet_members(&head.fleet)).await;
    print_status(&rows, format);
    match rows.iter().all(|row| row.is_at(head.offset)) {
        true => Ok(Exit::Done),
        false => Ok(Exit::Failed),
    }
}

/// Prints status rows.
pub(crate) fn print_status(rows: &[StatusRow], format: OutputFormat) {
    let heading =
        ["PROCESS", "KIND", "FAILURE_DOMAIN", "VERSION", "READINESS", "RUNNING", "PLATFORM"];
    format.print(&heading, rows, |row| match &row.status {
        Some(status) => status_cells(row, status),
        None => vec![row.process.to_string(), row.error.clone().unwrap_or_default()],
    });
}

fn status_cells(row: &StatusRow, status: &ProcessStatus) -> Vec<String> {
    let readiness = match status.readiness {
        Readiness::Draining => "draining",
        Readiness::NoConfig => "no-config",
        Readiness::Ready => "ready",
    };
    let kind = serde_json::to_value(status.kind).unwrap_or_default();
    vec![
        row.process.to_string(),
        kind.as_str().unwrap_or_default().to_owned(),
        status.failure_domain.to_string(),
        status.config_version.map_or("-".to_owned(), |version| version.to_string()),
        readiness.to_owned(),
        status.running.to_string(),
        if status.platform_up { "up" } else { "out" }.to_owned(),
    ]
}
