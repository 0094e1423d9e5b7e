//! The command line of the stand-ins' program.

use {
    crate::{EndpointSpec, announce::announce, endpoint::StandIn, server::serve},
    coord::ids::EndpointName,
    lexopt::{Arg, Parser, ValueExt},
    serde::{Deserialize, Serialize},
    snafu::{ResultExt, Snafu},
    std::{io, net::SocketAddr, process::ExitCode, sync::Arc, thread},
};

const HELP: &str = "standin: stand-ins of endpoints, for tests, the demo and the bench\n\n\
  --spec JSON       a list of stand-ins\n\
  --announce ADDRS  instances to announce them to, IP:PORT,IP:PORT\n\
  --secret TEXT     the secret that announcements show\n";

#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(display("{source}\n\n{HELP}"))]
    Usage { source: lexopt::Error },
    #[snafu(display("invalid --spec: {source}"))]
    Spec { source: serde_json::Error },
    #[snafu(display("can't listen on {addr}: {source}"))]
    Listen { addr: SocketAddr, source: io::Error },
}

/// The listen address of a stand-in, printed as JSON on start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StandInAddr {
    pub name: EndpointName,
    pub addr: SocketAddr,
}

/// Runs stand-ins until the process is killed.
pub fn run() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), RunError> {
    let mut specs: Vec<EndpointSpec> = Vec::new();
    let (mut to, mut secret) = (Vec::new(), String::new());
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next().context(UsageSnafu)? {
        match arg {
            Arg::Long("spec") => {
                let text = parser.value().and_then(ValueExt::string).context(UsageSnafu)?;
                specs = serde_json::from_str(&text).context(SpecSnafu)?;
            }
            Arg::Long("announce") => {
                let text = parser.value().and_then(ValueExt::string).context(UsageSnafu)?;
                let addrs = text.split(',').filter(|it| !it.is_empty());
                to = addrs.filter_map(|it| it.parse().ok()).collect();
            }
            Arg::Long("secret") => {
                secret = parser.value().and_then(ValueExt::string).context(UsageSnafu)?;
            }
            other => return Err(other.unexpected()).context(UsageSnafu),
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("the runtime can be built").block_on(serve_all(specs, to, secret))
}

async fn serve_all(
    specs: Vec<EndpointSpec>,
    to: Vec<SocketAddr>,
    secret: String,
) -> Result<(), RunError> {
    let mut addrs = Vec::new();
    let mut tasks = Vec::new();
    for (offset, spec) in specs.into_iter().enumerate() {
        let addr = spec.listen;
        let listener = tokio::net::TcpListener::bind(addr).await.context(ListenSnafu { addr })?;
        let addr = listener.local_addr().context(ListenSnafu { addr })?;
        let stand_in = Arc::new(StandIn::new(spec, addr));
        addrs.push(StandInAddr { name: stand_in.spec.name.clone(), addr });
        tasks.push(tokio::spawn(serve(listener, stand_in.clone())));
        if !to.is_empty() {
            let (to, secret) = (to.clone(), secret.clone());
            thread::spawn(move || announce(&stand_in, &to, &secret, offset));
        }
    }
    println!("{}", serde_json::to_string(&addrs).expect("addresses serialize to JSON"));
    for task in tasks {
        let _ = task.await;
    }
    Ok(())
}
