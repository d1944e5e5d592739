//! Definition of the command line, used for parsing, man pages and shell completions.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Default admin address, as configured in `examples/billfold/daemon.yaml`.
pub const DEFAULT_ADDR: &str = "127.0.0.1:7101";

/// Default metrics address of a daemon on the platform, asked for its load.
pub const DEFAULT_METRICS_ADDR: &str = "127.0.0.1:9464";

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("agatesill")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Defines profiles, assigns services, submits jobs and shows how objectives are met")
        .subcommand_required(true)
        .after_help(
            "Examples:\n  agatesill status --watch\n  \
             agatesill profile define desk-pricing --class latency-critical --answer-ms 250\n  \
             agatesill service assign time-billing --profile desk-pricing --pool billing\n  \
             agatesill job submit examples/billfold/jobs.yaml\n  agatesill explain job bills-cork",
        )
        .args(global_args())
        .subcommand(profile())
        .subcommand(service())
        .subcommand(team())
        .subcommand(zone())
        .subcommand(config())
        .subcommand(job())
        .subcommand(status())
        .subcommand(explain())
        .subcommand(trace())
        .subcommand(
            Command::new("drain")
                .about("Starts a planned shutdown of the daemon at --addr")
                .after_help("Example:\n  agatesill --addr 127.0.0.1:7111 drain"),
        )
        .subcommand(
            Command::new("completions")
                .about("Prints a shell completion script")
                .after_help("Example:\n  agatesill completions bash > agatesill.bash")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(clap_complete::Shell))
                        .help("Shell"),
                ),
        )
        .subcommand(
            Command::new("man")
                .about("Writes the man pages of the tool and its subcommands")
                .after_help("Example:\n  agatesill man target/man")
                .arg(
                    Arg::new("folder")
                        .required(true)
                        .value_parser(value_parser!(PathBuf))
                        .help("Directory to write to"),
                ),
        )
}

fn trace() -> Command {
    Command::new("trace")
        .about("Shows the timeline of one job from the daemons' logs and marks gaps in it")
        .after_help(
            "Examples:\n  agatesill trace 8d1d4e714b8f45e5 logs/entry-*.log\n  \
             cat logs/*.log | agatesill trace 8d1d4e714b8f45e5\n  \
             agatesill trace 8d1d4e714b8f45e5.0.1.17 logs/entry-*.log",
        )
        .arg(
            Arg::new("id")
                .required(true)
                .value_name("ID")
                .help("ID of the job or request, or name of a task: JOB.OCCURRENCE.STEP.INDEX"),
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .num_args(0..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files, each named after its daemon; standard input if none is given"),
        )
}

fn global_args() -> [Arg; 4] {
    [
        Arg::new("addr")
            .long("addr")
            .global(true)
            .value_name("IP:PORT")
            .default_value(DEFAULT_ADDR)
            .value_parser(value_parser!(SocketAddr))
            .action(ArgAction::Append)
            .help("Admin address of any daemon"),
        Arg::new("output")
            .long("output")
            .global(true)
            .default_value("table")
            .value_parser(["table", "json"])
            .help("Output format"),
        Arg::new("operator")
            .long("operator")
            .global(true)
            .value_name("NAME")
            .help("Name of the operator; defaults to the environment variable USER"),
        Arg::new("token-file")
            .long("token-file")
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .help("File with the operator's token, if the daemon's settings require one"),
    ]
}

fn name_arg(help: &'static str) -> Arg {
    Arg::new("name").required(true).help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").value_parser(value_parser!(u64)).help(help)
}

fn change_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("reason")
                .long("reason")
                .value_name("TEXT")
                .help("Reason, recorded in the history"),
        )
        .arg(number("base-version", "Reject the change unless this version is the newest"))
}

fn profile_fields(command: Command) -> Command {
    command
        .arg(
            Arg::new("class")
                .long("class")
                .value_parser(["latency-critical", "batch"])
                .help("Class of work; required for a new profile"),
        )
        .arg(number(
            "answer-ms",
            "Latency target: 99th percentile of the response time in milliseconds",
        ))
        .arg(number("priority", "Priority from 0 (refused first) to 9 (refused last)"))
        .arg(number("queue-requests", "Maximum requests queued in one daemon; 0 derives the limit"))
        .arg(number("evictions-per-hour", "Maximum evictions of one task per hour"))
        .arg(number(
            "throttle-percent",
            "Share of CPU time that a throttled task keeps, in percent",
        ))
}

fn profile() -> Command {
    Command::new("profile")
        .about("Profiles, the named objectives of services and jobs")
        .subcommand_required(true)
        .after_help(
            "Examples:\n  agatesill profile list\n  \
             agatesill profile diff desk-pricing --answer-ms 200\n  \
             agatesill profile retire ledger-watch",
        )
        .subcommand(change_args(profile_fields(
            Command::new("define")
                .about("Defines a profile, or changes the given fields of an existing one")
                .arg(name_arg("Profile")),
        )))
        .subcommand(
            Command::new("show")
                .about("Shows a profile and the services that use it")
                .arg(name_arg("Profile")),
        )
        .subcommand(Command::new("list").about("Lists all profiles"))
        .subcommand(change_args(
            Command::new("retire")
                .about("Retires a profile that no service uses")
                .arg(name_arg("Profile")),
        ))
        .subcommand(profile_fields(
            Command::new("diff")
                .about("Shows the changes that define would make")
                .arg(name_arg("Profile")),
        ))
}

fn service() -> Command {
    Command::new("service")
        .about("Services and their assigned profiles")
        .subcommand_required(true)
        .after_help("Example:\n  agatesill service assign time-billing --profile desk-pricing")
        .subcommand(change_args(
            Command::new("assign")
                .about("Assigns a profile to a service; a new service also requires a pool")
                .arg(name_arg("Service"))
                .arg(
                    Arg::new("profile")
                        .long("profile")
                        .value_name("NAME")
                        .required(true)
                        .help("Profile"),
                )
                .arg(Arg::new("pool").long("pool").value_name("NAME").help("Pool of upstreams"))
                .arg(
                    Arg::new("non-repeatable")
                        .long("non-repeatable")
                        .value_name("METHOD /PATH")
                        .action(ArgAction::Append)
                        .help("Requests that must run at most once, by method and path prefix"),
                ),
        ))
        .subcommand(change_args(
            Command::new("remove").about("Removes a service").arg(name_arg("Service")),
        ))
        .subcommand(Command::new("list").about("Lists all services"))
}

fn team() -> Command {
    Command::new("team")
        .about("Teams and their shares of the batch capacity")
        .subcommand_required(true)
        .after_help("Example:\n  agatesill team set bill-runs --weight 3 --quota-cpu-milli 400000")
        .subcommand(change_args(
            Command::new("set")
                .about("Sets a team's weight and quota")
                .arg(name_arg("Team"))
                .arg(
                    number("weight", "Relative weight when teams compete for capacity")
                        .required(true),
                )
                .arg(number(
                    "quota-cpu-milli",
                    "Maximum CPU in use at once, in thousandths of a processor; 0 for no quota",
                )),
        ))
        .subcommand(change_args(
            Command::new("remove").about("Removes a team").arg(name_arg("Team")),
        ))
        .subcommand(Command::new("list").about("Lists all teams"))
}

fn zone() -> Command {
    Command::new("zone")
        .about("Evacuation of availability zones")
        .subcommand_required(true)
        .after_help(
            "Example:\n  agatesill zone evacuate east-b --reason 'switch is replaced'\n  \
             agatesill zone restore east-b",
        )
        .subcommand(change_args(
            Command::new("evacuate")
                .about("Stops new placements on a zone's workers; running work finishes normally")
                .arg(name_arg("Availability zone")),
        ))
        .subcommand(change_args(
            Command::new("restore")
                .about("Allows new placements on a zone's workers again")
                .arg(name_arg("Availability zone")),
        ))
        .subcommand(Command::new("list").about("Lists the evacuated zones"))
}

fn config() -> Command {
    Command::new("config")
        .about("The configuration as a single document")
        .subcommand_required(true)
        .after_help("Example:\n  agatesill config apply examples/billfold/config.yaml")
        .subcommand(change_args(
            Command::new("apply")
                .about("Applies all profiles, services, teams and evacuations in a YAML file")
                .arg(file_arg()),
        ))
        .subcommand(Command::new("history").about("Lists the most recent accepted changes"))
        .subcommand(change_args(
            Command::new("rollback")
                .about("Restores the document of an earlier version as a new version")
                .arg(number("to", "Version to restore").required(true)),
        ))
}

fn file_arg() -> Arg {
    Arg::new("file").required(true).value_parser(value_parser!(PathBuf)).help("YAML file")
}

fn job() -> Command {
    Command::new("job")
        .about("Batch jobs")
        .subcommand_required(true)
        .after_help(
            "Examples:\n  agatesill job submit examples/billfold/jobs.yaml\n  \
             agatesill job wait bills-cork --limit-ms 60000",
        )
        .subcommand(
            Command::new("submit")
                .about("Submits the jobs in a YAML file; jobs submitted before are left unchanged")
                .arg(file_arg()),
        )
        .subcommand(Command::new("show").about("Shows a job's tasks").arg(name_arg("Job")))
        .subcommand(Command::new("list").about("Lists all jobs"))
        .subcommand(Command::new("cancel").about("Cancels a job").arg(name_arg("Job")))
        .subcommand(
            Command::new("wait")
                .about("Waits until all tasks of a job are finished")
                .arg(name_arg("Job"))
                .arg(number(
                    "limit-ms",
                    "Maximum time to wait in milliseconds; exits with 1 when exceeded",
                )),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Shows the status of daemons, services and cells, and what is degraded and why")
        .after_help(
            "Examples:\n  agatesill status --watch\n  \
             agatesill status --load --addr 127.0.0.1:9464 --addr 127.0.0.2:9464",
        )
        .arg(
            Arg::new("watch")
                .long("watch")
                .action(ArgAction::SetTrue)
                .help("Prints the status again every second"),
        )
        .arg(Arg::new("load").long("load").action(ArgAction::SetTrue).help(
            "Shows the load as daemons on the platform know it, and their refusals; --addr is \
             then a metrics address and may be repeated",
        ))
}

fn explain() -> Command {
    Command::new("explain")
        .about(
            "Explains a refused request, a waiting or moved job, or a worker's or profile's state",
        )
        .after_help(
            "Examples:\n  agatesill explain job bills-cork\n  agatesill explain request 4711",
        )
        .arg(
            Arg::new("kind")
                .required(true)
                .value_parser(["request", "job", "worker", "profile"])
                .help("Kind of object to explain"),
        )
        .arg(name_arg("ID or name of the object"))
}
