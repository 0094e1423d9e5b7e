//! Executes commands.

use {
    crate::{
        client::Client,
        command::{Base, Command, HELP, Options, TableCommand, parse},
        error::{ArgumentsSnafu, CliError, InputSnafu, NotInForceSnafu, ParseSnafu},
        show,
    },
    coord::{
        control::Status,
        ids::{ChangeId, PoolName, RouteName, Version},
        tables::{ChangeOutcome, Edit, Pool, RolloutOrder, Route},
        time::Millis,
        wire::{
            ChangeAnswer, ChangeRequest, ClaimView, HistoryRow, ResolveRequest, RolloutRow,
            TablesView, VoterRequest,
        },
    },
    serde::{Deserialize, de::DeserializeOwned},
    snafu::{OptionExt, ResultExt},
    std::{
        env, fs,
        io::{self, Read},
        process::ExitCode,
        thread,
        time::{Duration, Instant},
    },
};

/// The interval at which `--wait` polls the status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The content of a file for `tables replace`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TablesFile {
    routes: Vec<Route>,
    pools: Vec<Pool>,
}

/// The content of a file for `put`: one row or a list of rows.
#[derive(Deserialize)]
#[serde(untagged)]
enum Rows<T> {
    Many(Vec<T>),
    One(T),
}

/// Parses the command line and executes the command.
pub fn run() -> ExitCode {
    match parse().and_then(|(command, options)| execute(command, &options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("mangobend: {err}");
            ExitCode::from(err.exit_code())
        }
    }
}

fn execute(command: Command, options: &Options) -> Result<(), CliError> {
    if matches!(command, Command::Help) {
        print!("{HELP}");
        return Ok(());
    }
    let client = connect(options)?;
    let json = options.json;
    match command {
        Command::Help => {}
        Command::Routes(it) => run_routes(&client, options, it)?,
        Command::Pools(it) => run_pools(&client, options, it)?,
        Command::ShowTables => show::tables(&client.get("/v1/tables")?, json),
        Command::ReplaceTables(file) => {
            let TablesFile { routes, pools } = read_json(file.as_deref())?;
            submit_change(&client, options, vec![Edit::Replace { routes, pools }])?;
        }
        Command::TakeOut(it) => submit_change(&client, options, vec![Edit::TakeOut(it)])?,
        Command::BringBack(it) => submit_change(&client, options, vec![Edit::BringBack(it)])?,
        Command::History => show::history(&client.get::<Vec<HistoryRow>>("/v1/changes")?, json),
        Command::FoundSystem => show::text(&client.post::<String>("/v1/found", &())?, json),
        Command::Status => show::status(&client.get("/v1/status")?, json),
        Command::ChangeVoter { name, add } => {
            let instance =
                name.parse().map_err(|_| invalid_argument(format!("{name:?} is no name")))?;
            let done: String = client.post("/v1/voters", &VoterRequest { instance, add })?;
            show::text(&done, json);
        }
        Command::StartRollout { pool, to } => {
            let order = RolloutOrder { pool, to, duration: duration(options)? };
            show::order(&client.order(&order)?, json);
        }
        Command::ShowRollout(pool) => {
            let rows: Vec<RolloutRow> = client.get("/v1/rollouts")?;
            let row = rows.into_iter().find(|it| it.rollout.pool == pool);
            show::rollouts(&[row.context(no_row(pool.as_str()))?], json);
        }
        Command::ListRollouts => {
            show::rollouts(&client.get::<Vec<RolloutRow>>("/v1/rollouts")?, json);
        }
        Command::ListClaims => {
            show::claims(&client.get::<Vec<ClaimView>>("/v1/claims/unknown")?, json);
        }
        Command::SettleClaim { key, output } => {
            let key = key.parse().map_err(|_| invalid_argument(format!("{key:?} is no key")))?;
            let request = ResolveRequest { key, author: author(options), output };
            show::text(&client.post::<String>("/v1/claims/resolve", &request)?, json);
        }
    }
    Ok(())
}

fn run_routes(client: &Client, options: &Options, command: TableCommand) -> Result<(), CliError> {
    match command {
        TableCommand::List => show::routes(&fetch_tables(client)?.routes, options.json),
        TableCommand::Show(name) => {
            let found =
                fetch_tables(client)?.routes.into_iter().find(|it| it.name.as_str() == name);
            show::routes(&[found.context(no_row(&name))?], options.json);
        }
        TableCommand::Put(file) => {
            let rows = read_rows::<Route>(file.as_deref())?;
            submit_change(client, options, rows.into_iter().map(Edit::PutRoute).collect())?;
        }
        TableCommand::Delete(name) => {
            let name: RouteName =
                name.parse().map_err(|_| invalid_argument(format!("{name:?} is no name")))?;
            submit_change(client, options, vec![Edit::DeleteRoute(name)])?;
        }
    }
    Ok(())
}

fn run_pools(client: &Client, options: &Options, command: TableCommand) -> Result<(), CliError> {
    match command {
        TableCommand::List => show::pools(&fetch_tables(client)?.pools, options.json),
        TableCommand::Show(name) => {
            let found = fetch_tables(client)?.pools.into_iter().find(|it| it.name.as_str() == name);
            show::pools(&[found.context(no_row(&name))?], options.json);
        }
        TableCommand::Put(file) => {
            let rows = read_rows::<Pool>(file.as_deref())?;
            submit_change(client, options, rows.into_iter().map(Edit::PutPool).collect())?;
        }
        TableCommand::Delete(name) => {
            let name: PoolName =
                name.parse().map_err(|_| invalid_argument(format!("{name:?} is no name")))?;
            submit_change(client, options, vec![Edit::DeletePool(name)])?;
        }
    }
    Ok(())
}

fn submit_change(client: &Client, options: &Options, edits: Vec<Edit>) -> Result<(), CliError> {
    let base = match options.base {
        Base::Any => None,
        Base::Version(it) => Some(it),
        Base::Current => Some(fetch_tables(client)?.version),
    };
    let id = options.change_id.unwrap_or_else(ChangeId::generate);
    let request = ChangeRequest { id, base, author: author(options), edits };
    let outcome = client.change(&request)?;
    if let (ChangeOutcome::Accepted { version }, true) = (&outcome, options.wait) {
        wait_until_in_force(client, *version, options.wait_bound)?;
    }
    show::change(&ChangeAnswer { id, outcome }, options);
    Ok(())
}

/// Waits until a version of the tables is in force on all instances.
fn wait_until_in_force(client: &Client, version: Version, seconds: u64) -> Result<(), CliError> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < deadline {
        let status = client.get::<Status>("/v1/status");
        if status.is_ok_and(|it| it.in_force.is_some_and(|it| it >= version)) {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    NotInForceSnafu { version, seconds }.fail()
}

fn fetch_tables(client: &Client) -> Result<TablesView, CliError> {
    client.get("/v1/tables")
}

fn connect(options: &Options) -> Result<Client, CliError> {
    let at = options.at.clone().or_else(|| env::var("MANGOBEND_AT").ok());
    let at = at.context(ArgumentsSnafu { detail: "--at must be set" })?;
    let secret = match &options.secret_file {
        Some(path) => fs::read_to_string(path).context(InputSnafu { path })?.trim().to_owned(),
        None => env::var("MANGOBEND_OPERATOR_SECRET").unwrap_or_default(),
    };
    Ok(Client::new(&at, &secret))
}

fn author(options: &Options) -> String {
    let user = || env::var("USER").unwrap_or_else(|_| "unnamed".to_owned());
    options.author.clone().unwrap_or_else(user)
}

/// The duration of a rollout, which the instance checks.
fn duration(options: &Options) -> Result<Millis, CliError> {
    let seconds = options.duration.filter(|it| it.is_finite() && *it > 0.0);
    let seconds = seconds.context(ArgumentsSnafu {
        detail: "--duration must be set to a number of seconds above 0",
    })?;
    Ok(Millis((seconds * 1000.0) as u64))
}

fn read_rows<T: DeserializeOwned>(file: Option<&str>) -> Result<Vec<T>, CliError> {
    Ok(match read_json(file)? {
        Rows::Many(it) => it,
        Rows::One(it) => vec![it],
    })
}

/// Reads JSON from a file, or from standard input if the path is missing or `-`.
fn read_json<T: DeserializeOwned>(file: Option<&str>) -> Result<T, CliError> {
    let path = file.unwrap_or("-");
    let text = match path {
        "-" => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).context(InputSnafu { path })?;
            text
        }
        _ => fs::read_to_string(path).context(InputSnafu { path })?,
    };
    serde_json::from_str(&text).context(ParseSnafu)
}

fn invalid_argument(detail: String) -> CliError {
    ArgumentsSnafu { detail }.build()
}

fn no_row(name: &str) -> ArgumentsSnafu<String> {
    ArgumentsSnafu { detail: format!("there is no row {name:?}") }
}
