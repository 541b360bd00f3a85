use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use rhubarbfall_core::{
    PoolId, Revision, SectionVersion, ShareWeight, Slots, TeamId, UpstreamId, VmCount, VmId, WaveId,
};
use rhubarbfall_document::{AccessKey, SectionId};

/// Returns the definition of all commands and flags.
pub(crate) fn command() -> Command {
    Command::new("rhubarbctl")
        .about("Operates a fleet through the operators' interface of one entry")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(document_command())
        .subcommand(key_command())
        .subcommand(team_command())
        .subcommand(pool_command())
        .subcommand(entry_command())
        .subcommand(upstream_command())
        .subcommand(wave_command())
        .subcommand(explain_command())
        .subcommand(move_vm_command())
        .subcommand(
            Command::new("state").about("Prints the full state of the entry, always as JSON"),
        )
        .subcommand(Command::new("status").about("Shows the revision in force at each entry"))
}

fn global_arguments() -> [Arg; 5] {
    [
        Arg::new("endpoint")
            .long("endpoint")
            .value_name("ADDRESS")
            .help("Address of the entry's operators' interface, such as 127.0.0.1:7002")
            .value_parser(value_parser!(SocketAddr))
            .global(true),
        Arg::new("key")
            .long("key")
            .value_name("KEY")
            .help("Key to authenticate with; in a --config file it stays out of the process list")
            .value_parser(value_parser!(AccessKey))
            .global(true),
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .help("TOML file with `endpoint` and `key`; flags take precedence")
            .value_parser(value_parser!(PathBuf))
            .global(true),
        Arg::new("json")
            .long("json")
            .help("Prints JSON instead of text")
            .action(ArgAction::SetTrue)
            .global(true),
        Arg::new("transaction-id")
            .long("transaction-id")
            .value_name("ID")
            .help("Identifier of the change; reuse it to retry a change whose outcome is unknown")
            .global(true),
    ]
}

fn document_command() -> Command {
    command_group("document", "Shows and changes the document")
        .subcommand(
            Command::new("show")
                .about("Prints sections with their versions")
                .arg(section_argument())
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_name("VERSION")
                        .help("Fails if the section has another version, and lists later changes")
                        .value_parser(value_parser!(SectionVersion))
                        .requires("section"),
                ),
        )
        .subcommand(
            Command::new("edit")
                .about("Writes sections to a file, to be edited and applied")
                .arg(file_argument("The file to write"))
                .arg(section_argument())
                .arg(
                    Arg::new("force")
                        .long("force")
                        .help("Overwrites the file if it exists")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies the sections of a file")
                .arg(file_argument("The file to apply")),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a file without applying it")
                .arg(file_argument("The file to check"))
                .arg(
                    Arg::new("whole")
                        .long("whole")
                        .help("Checks the file as a complete document, without contacting an entry")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(document_diff_command())
        .subcommand(
            Command::new("history")
                .about("Lists the accepted revisions")
                .arg(revision_argument(
                    "since",
                    "Lists only revisions later than this one",
                ))
                .arg(section_argument()),
        )
}

fn document_diff_command() -> Command {
    Command::new("diff")
        .about("Shows what a file would change, or what changed between two revisions")
        .arg(file_argument("The file to compare with the document").required(false))
        .arg(revision_argument("from", "The earlier revision"))
        .arg(revision_argument(
            "to",
            "The later revision; the newest by default",
        ))
        .arg(section_argument())
        .group(ArgGroup::new("what").args(["file", "from"]).required(true))
}

fn key_command() -> Command {
    command_group("key", "Grants and withdraws keys")
        .subcommand(
            Command::new("grant")
                .about("Grants a new key and prints it")
                .arg(Arg::new("label").required(true).help("Label of the key"))
                .arg(
                    Arg::new("team")
                        .long("team")
                        .help("The team that the key is for")
                        .value_parser(value_parser!(TeamId)),
                )
                .arg(
                    Arg::new("operator")
                        .long("operator")
                        .help("The operator that the key is for"),
                )
                .arg(
                    Arg::new("new-key")
                        .long("new-key")
                        .help("Key to grant, to retry a grant whose outcome is unknown")
                        .value_parser(value_parser!(AccessKey)),
                )
                .group(
                    ArgGroup::new("owner")
                        .args(["team", "operator"])
                        .required(true),
                ),
        )
        .subcommand(
            Command::new("withdraw")
                .about("Withdraws a key")
                .arg(Arg::new("label").required(true).help("Label of the key")),
        )
        .subcommand(Command::new("list").about("Lists the granted keys"))
        .subcommand(
            Command::new("new")
                .about("Generates a key for the first document, without contacting an entry")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .help("Settings file of an entry, which holds the fleet's key pepper")
                        .value_parser(value_parser!(PathBuf))
                        .required(true),
                ),
        )
}

fn team_command() -> Command {
    command_group("team", "Shows and sets the limits of teams")
        .subcommand(Command::new("list").about("Lists the teams"))
        .subcommand(
            Command::new("show")
                .about("Shows a team")
                .arg(id_argument::<TeamId>()),
        )
        .subcommand(
            Command::new("set")
                .about("Sets a team's upper limit or share weight; a new team requires both")
                .arg(id_argument::<TeamId>())
                .arg(
                    Arg::new("upper-limit-slots")
                        .long("upper-limit-slots")
                        .value_parser(value_parser!(Slots)),
                )
                .arg(
                    Arg::new("share-weight")
                        .long("share-weight")
                        .value_parser(value_parser!(ShareWeight)),
                )
                .group(at_least_one_of(["upper-limit-slots", "share-weight"])),
        )
}

fn pool_command() -> Command {
    command_group("pool", "Shows and sets pools")
        .subcommand(Command::new("list").about("Lists the pools"))
        .subcommand(
            Command::new("show")
                .about("Shows a pool")
                .arg(id_argument::<PoolId>()),
        )
        .subcommand(
            Command::new("set")
                .about("Sets a pool's budget or minimum size; a new pool requires the budget")
                .arg(id_argument::<PoolId>())
                .arg(
                    Arg::new("max-unavailable-vms")
                        .long("max-unavailable-vms")
                        .value_parser(value_parser!(VmCount)),
                )
                .arg(
                    Arg::new("min-vms")
                        .long("min-vms")
                        .value_parser(value_parser!(VmCount)),
                )
                .group(at_least_one_of(["max-unavailable-vms", "min-vms"])),
        )
}

fn entry_command() -> Command {
    command_group("entry", "Shows entries")
        .subcommand(Command::new("list").about("Lists the entries known to the contacted entry"))
}

fn upstream_command() -> Command {
    command_group("upstream", "Shows and drains upstreams")
        .subcommand(Command::new("list").about("Lists the upstreams known to the contacted entry"))
        .subcommand(
            Command::new("drain")
                .about("Stops sending new work to an upstream")
                .arg(id_argument::<UpstreamId>()),
        )
        .subcommand(
            Command::new("resume")
                .about("Resumes sending work to a drained upstream")
                .arg(id_argument::<UpstreamId>()),
        )
}

fn wave_command() -> Command {
    let wave_subcommand = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(id_argument::<WaveId>())
    };
    command_group("wave", "Shows and controls maintenance waves")
        .subcommand(Command::new("list").about("Lists the waves"))
        .subcommand(wave_subcommand("show", "Shows a wave"))
        .subcommand(wave_subcommand(
            "plan",
            "Shows when the drain of each VM starts and why, or what it waits for",
        ))
        .subcommand(wave_subcommand("pause", "Stops granting new permits"))
        .subcommand(wave_subcommand("resume", "Resumes granting permits"))
        .subcommand(wave_subcommand(
            "stop",
            "Stops granting new permits, and cancels drains that have not led to a reboot",
        ))
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Explains why a VM, pool, team or wave waits, or was moved, refused or stopped")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["vm", "pool", "team", "wave"])
                .help("Kind of the subject"),
        )
        .arg(
            Arg::new("id")
                .required(true)
                .help("Identifier of the subject"),
        )
}

fn move_vm_command() -> Command {
    Command::new("move")
        .about("Requests the move of a VM to a pool")
        .arg(
            Arg::new("vm")
                .required(true)
                .value_parser(value_parser!(VmId)),
        )
        .arg(
            Arg::new("pool")
                .required(true)
                .value_parser(value_parser!(PoolId)),
        )
}

fn command_group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn at_least_one_of<const N: usize>(arguments: [&'static str; N]) -> ArgGroup {
    ArgGroup::new("changes")
        .args(arguments)
        .required(true)
        .multiple(true)
}

fn id_argument<T>() -> Arg
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync> + Clone + Send + Sync + 'static,
{
    Arg::new("id")
        .required(true)
        .help("The identifier")
        .value_parser(str::parse::<T>)
}

fn section_argument() -> Arg {
    Arg::new("section")
        .long("section")
        .value_name("SECTION")
        .help("Section: fleet, keys or team.<id>; may be repeated; all sections by default")
        .value_parser(value_parser!(SectionId))
        .action(ArgAction::Append)
}

fn file_argument(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

fn revision_argument(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("REVISION")
        .help(help)
        .value_parser(value_parser!(Revision))
}
