use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};
use rhubarbfall_core::{
    PoolId, Revision, SectionVersion, ShareWeight, Slots, TeamId, UpstreamId, VmCount, VmId, WaveId,
};
use rhubarbfall_document::{AccessKey, SectionId};

/// Builds the command line.
pub(crate) fn command() -> Command {
    Command::new("rhubarbctl")
        .about("Operates a fleet over the operators' interface of one of its entries")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(document())
        .subcommand(key())
        .subcommand(team())
        .subcommand(pool())
        .subcommand(entry())
        .subcommand(upstream())
        .subcommand(wave())
        .subcommand(explain())
        .subcommand(move_vm())
        .subcommand(Command::new("state").about("Prints the whole state of the entry"))
        .subcommand(
            Command::new("status").about("Shows which entries have which revision in force"),
        )
}

fn global_arguments() -> [Arg; 5] {
    [
        Arg::new("endpoint")
            .long("endpoint")
            .value_name("ADDRESS")
            .help("The entry's address for operators, such as 127.0.0.1:7002")
            .value_parser(value_parser!(SocketAddr))
            .global(true),
        Arg::new("key")
            .long("key")
            .value_name("KEY")
            .help("The key; a file keeps it out of the list of processes")
            .value_parser(value_parser!(AccessKey))
            .global(true),
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .help("A TOML file with `endpoint` and `key`")
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
            .help("Identifies the change, to repeat one whose answer was lost")
            .global(true),
    ]
}

fn document() -> Command {
    group("document", "Shows and changes the document")
        .subcommand(
            Command::new("show")
                .about("Prints sections with their versions")
                .arg(section())
                .arg(
                    Arg::new("version")
                        .long("version")
                        .value_name("VERSION")
                        .help("Fails when the section has another version, with what changed since")
                        .value_parser(value_parser!(SectionVersion))
                        .requires("section"),
                ),
        )
        .subcommand(
            Command::new("edit")
                .about("Writes sections to a file, to be changed there and applied")
                .arg(file("The file to write"))
                .arg(section())
                .arg(
                    Arg::new("force")
                        .long("force")
                        .help("Overwrites the file")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("apply")
                .about("Applies the sections of a file")
                .arg(file("The file to apply")),
        )
        .subcommand(
            Command::new("check")
                .about("Checks a file without applying it")
                .arg(file("The file to check"))
                .arg(
                    Arg::new("whole")
                        .long("whole")
                        .help("Checks the file as a whole document, without an entry")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(document_diff())
        .subcommand(
            Command::new("history")
                .about("Lists the accepted revisions")
                .arg(revision("since", "Lists only later revisions"))
                .arg(section()),
        )
}

fn document_diff() -> Command {
    Command::new("diff")
        .about("Shows what a file would change, or what changed between two revisions")
        .arg(file("The file to compare with the document").required(false))
        .arg(revision("from", "The earlier revision"))
        .arg(revision(
            "to",
            "The later revision; the newest when left out",
        ))
        .arg(section())
        .group(ArgGroup::new("what").args(["file", "from"]).required(true))
}

fn key() -> Command {
    group("key", "Grants and withdraws keys")
        .subcommand(
            Command::new("grant")
                .about("Grants a new key and prints it")
                .arg(Arg::new("label").required(true).help("A name for the key"))
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
                        .help("The key to grant, to repeat a grant whose answer was lost")
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
                .arg(Arg::new("label").required(true).help("The key's name")),
        )
        .subcommand(Command::new("list").about("Lists the granted keys"))
        .subcommand(
            Command::new("new")
                .about("Makes a key for the first document, without an entry")
                .arg(
                    Arg::new("settings")
                        .long("settings")
                        .value_name("FILE")
                        .help("An entry's settings, which hold the fleet's pepper")
                        .value_parser(value_parser!(PathBuf))
                        .required(true),
                ),
        )
}

fn team() -> Command {
    group("team", "Shows and sets the limits of teams")
        .subcommand(Command::new("list").about("Lists the teams"))
        .subcommand(
            Command::new("show")
                .about("Shows a team")
                .arg(id::<TeamId>()),
        )
        .subcommand(
            Command::new("set")
                .about("Sets a team's limit or share; a new team needs both")
                .arg(id::<TeamId>())
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
                .group(changes(["upper-limit-slots", "share-weight"])),
        )
}

fn pool() -> Command {
    group("pool", "Shows and sets pools")
        .subcommand(Command::new("list").about("Lists the pools"))
        .subcommand(
            Command::new("show")
                .about("Shows a pool")
                .arg(id::<PoolId>()),
        )
        .subcommand(
            Command::new("set")
                .about("Sets a pool's budget or size; a new pool needs the budget")
                .arg(id::<PoolId>())
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
                .group(changes(["max-unavailable-vms", "min-vms"])),
        )
}

fn entry() -> Command {
    group("entry", "Shows entries")
        .subcommand(Command::new("list").about("Lists the entries that this one knows"))
}

fn upstream() -> Command {
    group("upstream", "Shows and drains upstreams")
        .subcommand(Command::new("list").about("Lists the upstreams that the entry knows"))
        .subcommand(
            Command::new("drain")
                .about("Sends no new work to an upstream")
                .arg(id::<UpstreamId>()),
        )
        .subcommand(
            Command::new("resume")
                .about("Sends work to a drained upstream again")
                .arg(id::<UpstreamId>()),
        )
}

fn wave() -> Command {
    let command = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(id::<WaveId>())
    };
    group("wave", "Shows and steers maintenance waves")
        .subcommand(Command::new("list").about("Lists the waves"))
        .subcommand(command("show", "Shows a wave"))
        .subcommand(command(
            "plan",
            "Shows when each VM is taken and why, or what it waits for",
        ))
        .subcommand(command("pause", "Grants no new permits"))
        .subcommand(command("resume", "Grants permits again"))
        .subcommand(command(
            "stop",
            "Grants no new permits, and undoes drains that have not led to a reboot",
        ))
}

fn explain() -> Command {
    Command::new("explain")
        .about("Explains why something waits, was moved, refused or stopped")
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["vm", "pool", "team", "wave"])
                .help("What to explain"),
        )
        .arg(Arg::new("id").required(true).help("The identifier"))
}

fn move_vm() -> Command {
    Command::new("move")
        .about("Asks for a VM to be moved to a pool")
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

fn group(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .subcommand_required(true)
        .arg_required_else_help(true)
}

fn changes<const N: usize>(arguments: [&'static str; N]) -> ArgGroup {
    ArgGroup::new("changes")
        .args(arguments)
        .required(true)
        .multiple(true)
}

fn id<T>() -> Arg
where
    T: std::str::FromStr<Err: std::error::Error + Send + Sync> + Clone + Send + Sync + 'static,
{
    Arg::new("id")
        .required(true)
        .help("The identifier")
        .value_parser(str::parse::<T>)
}

fn section() -> Arg {
    Arg::new("section")
        .long("section")
        .value_name("SECTION")
        .help("A section: fleet, keys or team.<id>; all when left out")
        .value_parser(value_parser!(SectionId))
        .action(ArgAction::Append)
}

fn file(help: &'static str) -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .help(help)
        .value_parser(value_parser!(PathBuf))
        .required(true)
}

fn revision(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("REVISION")
        .help(help)
        .value_parser(value_parser!(Revision))
}
