use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use rhubarbfall_testing::platform::StandInPlatform;
use rhubarbfall_testing::upstream::{StandInUpstream, UpstreamLog};
use serde_json::json;

/// Runs a stand-in for the given time; the first line on the standard output is its address.
pub(crate) fn stand_in(arguments: &ArgMatches) -> ExitCode {
    let result = match arguments.subcommand() {
        Some((kind, arguments)) => run(kind, arguments),
        None => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(kind: &str, arguments: &ArgMatches) -> io::Result<()> {
    let listen = arguments.get_one::<String>("listen");
    let listen: SocketAddr = listen
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| io::Error::other("--listen is not an address such as 127.0.0.1:8080"))?;
    let run_for = arguments.get_one::<u64>("run-for").copied();
    let run_for = Duration::from_secs(run_for.unwrap_or_default());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let address = if kind == "platform" {
            StandInPlatform::start(listen).await?.address()
        } else {
            let id = arguments.get_one::<String>("id");
            let id = id.and_then(|id| id.parse().ok());
            let id = id
                .ok_or_else(|| io::Error::other("--id is not a valid identifier of an upstream"))?;
            let work_ms = arguments.get_one::<u64>("work-ms").copied();
            let work = Duration::from_millis(work_ms.unwrap_or_default());
            StandInUpstream::start(id, listen, UpstreamLog::new(), work)
                .await?
                .address()
        };
        println!("{}", json!({ "address": address }));
        tokio::time::sleep(run_for).await;
        Ok(())
    })
}
