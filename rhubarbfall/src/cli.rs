use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;

/// Reads the command line and runs what it asks for.
pub(crate) fn run() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("serve", arguments)) => commands::serve(&settings_path(arguments)),
        Some(("check-settings", arguments)) => commands::check_settings(&settings_path(arguments)),
        Some(("stand-in", arguments)) => commands::stand_in(arguments),
        _ => ExitCode::FAILURE,
    }
}

fn command() -> Command {
    Command::new("rhubarbfall")
        .about("The process that runs on every entry VM")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("serve")
                .about("Serves callers until SIGTERM begins a planned stop")
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("check-settings")
                .about("Checks a settings file and lists every fault; exits 2 when there is one")
                .arg(settings_argument()),
        )
        .subcommand(stand_in_command())
}

fn settings_argument() -> Arg {
    Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("The TOML file with the process's settings")
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

fn stand_in_command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_name("ADDRESS")
        .help("Where to listen")
        .default_value("127.0.0.1:0");
    let run_for = Arg::new("run-for")
        .long("run-for")
        .value_name("SECONDS")
        .help("Ends the process after this time")
        .default_value("600")
        .value_parser(value_parser!(u64));
    Command::new("stand-in")
        .about("Runs a stand-in for tests on loopback")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("The platform's table, object store and VM list")
                .arg(listen.clone())
                .arg(run_for.clone()),
        )
        .subcommand(
            Command::new("upstream")
                .about("One upstream")
                .arg(listen)
                .arg(run_for)
                .arg(
                    Arg::new("id")
                        .long("id")
                        .value_name("ID")
                        .help("The upstream's identifier")
                        .required(true)
                        .action(ArgAction::Set)
                        .value_parser(ValueParser::string()),
                )
                .arg(
                    Arg::new("work-ms")
                        .long("work-ms")
                        .value_name("MILLISECONDS")
                        .help("How long a request takes")
                        .default_value("10")
                        .value_parser(value_parser!(u64)),
                ),
        )
}

fn settings_path(arguments: &ArgMatches) -> PathBuf {
    arguments
        .get_one::<PathBuf>("settings")
        .cloned()
        .unwrap_or_default()
}
