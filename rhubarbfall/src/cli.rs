use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::commands;
use crate::dev::{self, DevOptions};

/// Parses the command line and runs the command that it names.
pub(crate) fn run() -> ExitCode {
    match command().get_matches().subcommand() {
        Some(("serve", arguments)) => commands::serve(&settings_path(arguments)),
        Some(("schedule", arguments)) => {
            let run_for = arguments.get_one::<Duration>("run-for").copied();
            commands::schedule(&settings_path(arguments), run_for)
        }
        Some(("check-settings", arguments)) => commands::check_settings(&settings_path(arguments)),
        Some(("stand-in", arguments)) => commands::stand_in(arguments),
        Some(("dev", arguments)) => dev::run(&dev_options(arguments)),
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
                .about("Serves callers until SIGTERM starts a planned stop")
                .arg(settings_argument()),
        )
        .subcommand(
            Command::new("schedule")
                .about("Runs submissions on the platform's workers until SIGTERM")
                .arg(settings_argument())
                .arg(
                    Arg::new("run-for")
                        .long("run-for")
                        .value_name("TIME")
                        .help("Stops as on SIGTERM after this time, such as 2m")
                        .value_parser(parse_time),
                ),
        )
        .subcommand(
            Command::new("check-settings")
                .about("Checks a settings file and lists every fault; exits with 2 if there is one")
                .arg(settings_argument()),
        )
        .subcommand(stand_in_command())
        .subcommand(dev_command())
}

fn dev_command() -> Command {
    Command::new("dev")
        .about("Runs a complete fleet with stand-ins in this process, on loopback")
        .arg(
            Arg::new("example")
                .long("example")
                .value_name("NAME")
                .help("The example fleet to run: sorting or permits")
                .default_value("sorting"),
        )
        .arg(
            Arg::new("run-for")
                .long("run-for")
                .value_name("TIME")
                .help("Adds load and faults for this long, such as 20s, then prints a report")
                .value_parser(parse_time),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints the report as JSON")
                .action(ArgAction::SetTrue),
        )
}

fn dev_options(arguments: &ArgMatches) -> DevOptions {
    let example = arguments.get_one::<String>("example").cloned();
    DevOptions {
        example: example.unwrap_or_default(),
        run_for: arguments.get_one::<Duration>("run-for").copied(),
        is_json: arguments.get_flag("json"),
    }
}

/// Parses a duration such as `20s` or `2m`.
fn parse_time(text: &str) -> Result<Duration, String> {
    let malformed = || format!("{text:?} is not a duration such as 20s or 2m");
    let unit = text.chars().last().ok_or_else(malformed)?;
    let number = text.trim_end_matches(unit);
    let number: u64 = number.parse().map_err(|_| malformed())?;
    match unit {
        's' => Ok(Duration::from_secs(number)),
        'm' => Ok(Duration::from_mins(number)),
        _ => Err(malformed()),
    }
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
        .help("The address to listen on")
        .default_value("127.0.0.1:0");
    let run_for = Arg::new("run-for")
        .long("run-for")
        .value_name("SECONDS")
        .help("Stops the process after this many seconds")
        .default_value("600")
        .value_parser(value_parser!(u64));
    Command::new("stand-in")
        .about("Runs a stand-in for tests on loopback")
        .subcommand_required(true)
        .subcommand(
            Command::new("platform")
                .about("Runs the platform's table, object store and VM list")
                .arg(listen.clone())
                .arg(run_for.clone()),
        )
        .subcommand(
            Command::new("upstream")
                .about("Runs one upstream")
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
