//! Parses the command line.

use {
    crate::error::{ArgumentsSnafu, CliError, UsageSnafu},
    coord::{
        ids::{ChangeId, PoolName, SoftwareVersion, Version},
        tables::Target,
    },
    lexopt::{Arg, Parser, ValueExt},
    snafu::{OptionExt, ResultExt},
    std::{fmt::Display, str::FromStr},
};

/// The text of `--help`.
pub const HELP: &str = "\
mangobend: the operators' tool of the serving system

usage: mangobend [options] COMMAND

tables
  routes list | show NAME | put [FILE] | delete NAME
  pools list | show NAME | put [FILE] | delete NAME
  tables show | replace [FILE]      both tables in one step
  out domain NAME | out endpoint NAME
  back domain NAME | back endpoint NAME
  history                           who changed what, and when
instances
  found                             found a system with the instance at --at
  status                            instances, endpoints, what is in force
  voter add NAME | voter remove NAME-OR-ID
rollouts
  rollout start POOL VERSION --duration S   move a pool to a software version
  rollout show POOL | rollout list          the latest rollout of pools
claims
  claims list                       claims whose outcome isn't known
  claims settle KEY ran OUTPUT | claims settle KEY not-run

A FILE holds JSON; without one, or with -, standard input is read.

options
  --at IP:PORT       an instance's operator listener (or MANGOBEND_AT)
  --secret-file F    the operators' secret (or MANGOBEND_OPERATOR_SECRET)
  --author NAME      who makes the change (default: USER)
  --base N           the number of the tables that the change was made on
                     (default: the present one; `any` to go without)
  --change-id ID     resend a change under its identifier
  --wait             wait until the change is in force everywhere
  --wait-bound S     for at most so many seconds (default 30)
  --duration S       after how many seconds a rollout is rolled back unless it
                     is completed
  --json             print JSON

exit codes: 0 done, 2 usage, 3 bad input, 4 not reached, 5 refused, 6 another
change came first, 7 not known whether it took effect, 8 not in force in time
";

/// A command with its arguments.
#[derive(Debug)]
pub enum Command {
    Help,
    Routes(TableCommand),
    Pools(TableCommand),
    ShowTables,
    /// Replaces both tables by those of a file.
    ReplaceTables(Option<String>),
    /// Takes a failure domain or an endpoint out of service.
    TakeOut(Target),
    /// Returns a failure domain or an endpoint to service.
    BringBack(Target),
    History,
    /// Founds a system with the instance at `--at`.
    FoundSystem,
    Status,
    ChangeVoter {
        name: String,
        add: bool,
    },
    /// Lists the claims with an unknown outcome.
    ListClaims,
    /// Sets the outcome of a claim: it ran with `output`, or didn't run if that is
    /// `None`.
    SettleClaim {
        key: String,
        output: Option<String>,
    },
    StartRollout {
        pool: PoolName,
        to: SoftwareVersion,
    },
    ShowRollout(PoolName),
    ListRollouts,
}

/// An operation on the routes or the pools. `Put` has the path of its file.
#[derive(Debug)]
pub enum TableCommand {
    List,
    Show(String),
    Put(Option<String>),
    Delete(String),
}

/// The version of the tables that a change is based on.
#[derive(Debug, Clone, Copy)]
pub enum Base {
    /// The version that the instance reports just before the change is sent.
    Current,
    /// No check of the version.
    Any,
    Version(Version),
}

/// The command-line options.
#[derive(Debug)]
pub struct Options {
    pub at: Option<String>,
    pub secret_file: Option<String>,
    pub author: Option<String>,
    pub base: Base,
    pub change_id: Option<ChangeId>,
    pub wait: bool,
    /// In seconds.
    pub wait_bound: u64,
    /// Of a rollout, in seconds.
    pub duration: Option<f64>,
    pub json: bool,
}

/// Parses the command line.
///
/// # Errors
/// An option or the command is unknown, or a value is missing or invalid.
pub fn parse() -> Result<(Command, Options), CliError> {
    let mut options = Options {
        at: None,
        secret_file: None,
        author: None,
        base: Base::Current,
        change_id: None,
        wait: false,
        wait_bound: 30,
        duration: None,
        json: false,
    };
    let mut args = Vec::new();
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next().context(UsageSnafu)? {
        let next_value = |parser: &mut Parser| parser.value().and_then(ValueExt::string);
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok((Command::Help, options)),
            Arg::Long("at") => options.at = Some(next_value(&mut parser).context(UsageSnafu)?),
            Arg::Long("secret-file") => {
                options.secret_file = Some(next_value(&mut parser).context(UsageSnafu)?);
            }
            Arg::Long("author") => {
                options.author = Some(next_value(&mut parser).context(UsageSnafu)?);
            }
            Arg::Long("base") => {
                options.base = parse_base(&next_value(&mut parser).context(UsageSnafu)?)?;
            }
            Arg::Long("change-id") => {
                options.change_id =
                    Some(parse_value(&next_value(&mut parser).context(UsageSnafu)?)?);
            }
            Arg::Long("wait") => options.wait = true,
            Arg::Long("wait-bound") => {
                options.wait_bound = parse_value(&next_value(&mut parser).context(UsageSnafu)?)?;
            }
            Arg::Long("duration") => {
                let value = next_value(&mut parser).context(UsageSnafu)?;
                options.duration = Some(parse_value(&value)?);
            }
            Arg::Long("json") => options.json = true,
            Arg::Value(it) => args.push(it.string().context(UsageSnafu)?),
            other => return Err(other.unexpected()).context(UsageSnafu),
        }
    }
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    Ok((parse_command(&args)?, options))
}

fn parse_command(args: &[&str]) -> Result<Command, CliError> {
    Ok(match args {
        ["routes", rest @ ..] => Command::Routes(parse_table_command(rest)?),
        ["pools", rest @ ..] => Command::Pools(parse_table_command(rest)?),
        ["tables", "show"] => Command::ShowTables,
        ["tables", "replace"] => Command::ReplaceTables(None),
        ["tables", "replace", file] => Command::ReplaceTables(Some((*file).to_owned())),
        ["out", kind, name] => Command::TakeOut(parse_target(kind, name)?),
        ["back", kind, name] => Command::BringBack(parse_target(kind, name)?),
        ["history"] => Command::History,
        ["found"] => Command::FoundSystem,
        ["status"] => Command::Status,
        ["voter", "add", name] => Command::ChangeVoter { name: (*name).to_owned(), add: true },
        ["voter", "remove", name] => Command::ChangeVoter { name: (*name).to_owned(), add: false },
        ["rollout", "start", pool, to] => {
            Command::StartRollout { pool: parse_value(pool)?, to: parse_value(to)? }
        }
        ["rollout", "show", pool] => Command::ShowRollout(parse_value(pool)?),
        ["rollout", "list"] => Command::ListRollouts,
        ["claims", "list"] => Command::ListClaims,
        ["claims", "settle", key, "not-run"] => {
            Command::SettleClaim { key: (*key).to_owned(), output: None }
        }
        ["claims", "settle", key, "ran", output] => {
            Command::SettleClaim { key: (*key).to_owned(), output: Some((*output).to_owned()) }
        }
        _ => return unknown_command(args),
    })
}

fn parse_table_command(args: &[&str]) -> Result<TableCommand, CliError> {
    Ok(match args {
        ["list"] => TableCommand::List,
        ["show", name] => TableCommand::Show((*name).to_owned()),
        ["put"] => TableCommand::Put(None),
        ["put", file] => TableCommand::Put(Some((*file).to_owned())),
        ["delete", name] => TableCommand::Delete((*name).to_owned()),
        _ => return unknown_command(args),
    })
}

fn parse_target(kind: &str, name: &str) -> Result<Target, CliError> {
    match kind {
        "domain" => Ok(Target::Domain(parse_value(name)?)),
        "endpoint" => Ok(Target::Endpoint(parse_value(name)?)),
        _ => unknown_command(&[kind, name]),
    }
}

fn parse_base(text: &str) -> Result<Base, CliError> {
    match text {
        "any" => Ok(Base::Any),
        _ => parse_value(text).map(Base::Version),
    }
}

fn parse_value<T: FromStr<Err: Display>>(text: &str) -> Result<T, CliError> {
    text.parse().map_err(|err: T::Err| {
        ArgumentsSnafu { detail: format!("{text:?} can't be understood: {err}") }.build()
    })
}

fn unknown_command<T>(args: &[&str]) -> Result<T, CliError> {
    let shown = args.join(" ");
    None.context(ArgumentsSnafu { detail: format!("there is no command {shown:?}") })
}
