//! Runs one stand-in as a process, or sends one call.

use std::{net::SocketAddr, time::Duration};

use anyhow::bail;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use http::Method;
use lynxmount_standin::{
    BatchOptions, Caller, Engine, PlainService, PlainServiceOptions, PlatformLog, PlatformServer,
};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match command().get_matches().subcommand() {
        Some(("platform", matches)) => {
            PlatformServer::start(address(matches), PlatformLog::default())?.join().await
        }
        Some(("engine", matches)) => {
            Engine::start(address(matches), BatchOptions::default()).await?.join().await;
            Ok(())
        }
        Some(("plain", matches)) => {
            let delay = Duration::from_millis(*matches.get_one("delay-ms").unwrap_or(&0));
            PlainService::start(address(matches), PlainServiceOptions { delay })
                .await?
                .join()
                .await;
            Ok(())
        }
        Some(("call", matches)) => call(matches).await,
        _ => bail!("no such stand-in"),
    }
}

fn command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(value_parser!(SocketAddr))
        .help("IP address and port to listen on");
    let delay = Arg::new("delay-ms")
        .long("delay-ms")
        .value_parser(value_parser!(u64))
        .help("How long a call takes, in milliseconds");
    Command::new("lynxmount-standin")
        .about("Stand-ins for outside systems, for tests and trials")
        .subcommand_required(true)
        .subcommand(Command::new("platform").about("The platform's log and VM list").arg(&listen))
        .subcommand(Command::new("engine").about("A model engine").arg(&listen))
        .subcommand(Command::new("plain").about("A plain service").arg(&listen).arg(delay))
        .subcommand(call_command())
}

fn call_command() -> Command {
    Command::new("call")
        .about("Makes one call and prints status, outcome and body")
        .arg(
            Arg::new("to")
                .long("to")
                .required(true)
                .value_parser(value_parser!(SocketAddr))
                .help("IP address and port to call"),
        )
        .arg(Arg::new("token").long("token").required(true).help("The team's bearer token"))
        .arg(Arg::new("method").long("method").default_value("GET").help("HTTP method"))
        .arg(
            Arg::new("header")
                .long("header")
                .action(ArgAction::Append)
                .help("A header as NAME:VALUE; may be repeated"),
        )
        .arg(Arg::new("body").long("body").default_value("").help("The body"))
        .arg(Arg::new("path").required(true).help("The path"))
}

fn address(matches: &ArgMatches) -> SocketAddr {
    *matches.get_one("listen").expect("the argument is required")
}

async fn call(matches: &ArgMatches) -> anyhow::Result<()> {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let target = *matches.get_one("to").expect("the argument is required");
    let headers: Vec<String> = matches.get_many("header").into_iter().flatten().cloned().collect();
    let headers: Vec<(&str, &str)> = headers.iter().filter_map(|h| h.split_once(':')).collect();
    let method = Method::from_bytes(text("method").as_bytes())?;
    let response = Caller::new(target, text("token"))
        .call(method, &text("path"), &headers, text("body"))
        .await?;
    println!("status: {}", response.status);
    println!("outcome: {}", response.outcome());
    println!("{}", response.body);
    if !response.status.is_success() {
        std::process::exit(1);
    }
    Ok(())
}
