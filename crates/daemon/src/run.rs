//! Starts the threads around the core loop and runs it.

use {
    crate::{
        callers::{self, CallerContext},
        core::{Context, Core},
        disk::{DiskError, DiskWriter, Folder, Identity, Store},
        endpoints::{self, EndpointCalls},
        event::{Event, Inbox, MAX_EVENTS},
        operators,
        peers::{self, Outgoing, PeerClient},
        relay::RelaySettings,
        relay::{self, BatcherEvent, DrainState, Relay, RelayContext},
        settings::{self, Parsed, Settings},
        telemetry::{Meters, start_logs},
    },
    serde::Serialize,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    snafu::{ResultExt, Snafu},
    stakker::{Stakker, actor, call, ret_nop},
    std::{
        cell::Cell,
        io,
        net::{SocketAddr, TcpListener},
        pin::Pin,
        process::ExitCode,
        sync::{
            Arc,
            atomic::AtomicBool,
            mpsc::{Receiver, RecvTimeoutError, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
            watch,
        },
        task::LocalSet,
    },
};

/// The most events handled between two looks at the timers.
const MAX_ROUND: usize = 256;
/// The longest wait for an event when no timer is set.
const IDLE: Duration = Duration::from_secs(1);

/// Why the daemon can't start.
#[derive(Debug, Snafu)]
enum StartError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"))]
    Disk { source: DiskError },
    #[snafu(display("--{flag} is {addr}, which can't be listened on: {source}"))]
    Listen { flag: &'static str, addr: SocketAddr, source: io::Error },
    #[snafu(display("signals can't be watched: {source}"))]
    Signals { source: io::Error },
}

/// The addresses that were taken, as the daemon's first line of output.
#[derive(Serialize)]
struct Addresses {
    caller: SocketAddr,
    operator: SocketAddr,
    endpoint: SocketAddr,
    peer: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    relay: Option<SocketAddr>,
}

struct Listeners {
    caller: TcpListener,
    operator: TcpListener,
    endpoint: TcpListener,
    peer: TcpListener,
    relay: Option<RelayListeners>,
}

struct RelayListeners {
    caller: TcpListener,
    readiness: Option<TcpListener>,
}

/// Another front door, run on the network thread beside the daemon's own.
pub type Extra = Box<dyn FnOnce(Inbox) -> Pin<Box<dyn Future<Output = ()>>> + Send>;

thread_local! {
    static EXIT: Cell<Option<ExitCode>> = const { Cell::new(None) };
}

/// Ends the core loop with an exit code.
pub fn finish(code: ExitCode) {
    EXIT.set(Some(code));
}

/// Runs the daemon.
pub fn run() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let parsed = settings::parse(args, |name| std::env::var(name).ok());
    let result = match parsed.context(SettingsSnafu) {
        Ok(Parsed::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(Parsed::Check) => {
            println!("the settings are valid");
            return ExitCode::SUCCESS;
        }
        Ok(Parsed::Run(settings)) => return launch(*settings, Vec::new()),
        Err(err) => Err(err),
    };
    conclude(result)
}

/// Runs the daemon with checked settings and other front doors.
pub fn launch(settings: Settings, extras: Vec<Extra>) -> ExitCode {
    conclude(start(settings, extras))
}

fn conclude(result: Result<ExitCode, StartError>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("mangobendd: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings, extras: Vec<Extra>) -> Result<ExitCode, StartError> {
    start_logs(settings.log_level, settings.log_format, &settings.log_parts);
    warn_of_narrowed(&settings);
    let listeners = listen(&settings)?;
    let addresses = listeners.addresses();
    let own_peer = settings.advertise.unwrap_or(addresses.peer);
    let disk = open_disk(&settings, own_peer).context(DiskSnafu)?;
    let (sender, events) = sync_channel(MAX_EVENTS);
    let inbox = Inbox::new(sender);
    watch_signals(inbox.clone())?;
    let meters = Meters::install(settings.team_series);
    let ready = Arc::new(AtomicBool::new(false));
    let (peers, outgoing) = unbounded_channel();
    let Listeners { caller, operator, endpoint, peer, relay } = listeners;
    let drain = Arc::new(DrainState::default());
    let (tables, followed) = watch::channel(Arc::default());
    let context = CallerContext {
        inbox: inbox.clone(),
        max_body: settings.max_body,
        max_connections: settings.max_connections,
        ready: ready.clone(),
    };
    let (batchers, batcher_events) = unbounded_channel();
    let peer_secret = settings.peer.secret.clone();
    let relay = settings.relay.clone().zip(relay).map(|(settings, listeners)| {
        let (tables, drain) = (followed, drain.clone());
        let secret = peer_secret.clone();
        let context =
            RelayContext { settings, tables, batcher_events, drain, peer: own_peer, secret };
        (context, listeners)
    });
    let network = Network {
        caller,
        context,
        peer,
        secret: peer_secret.clone(),
        outgoing,
        batchers,
        relay,
        extras,
    };
    network.start(inbox.clone());
    let secret = settings.operator.secret.clone();
    operators::serve(operator, secret, inbox.clone(), meters.handle());
    endpoints::listen(endpoint, settings.endpoint.secret.clone(), inbox.clone());
    let (identity, disk) = match disk {
        Some((identity, store, restored)) => {
            (identity, Some((DiskWriter::start(store, inbox.clone()), restored)))
        }
        None => (Identity::fresh(), None),
    };
    let context = Context {
        peer: own_peer,
        tables,
        drain,
        endpoints: EndpointCalls::new(settings.endpoint_threads, inbox),
        settings,
        identity,
        disk,
        peers,
        meters,
        ready,
        start: Instant::now(),
        seed: rand::random(),
    };
    println!("{}", serde_json::to_string(&addresses).expect("addresses can be written as JSON"));
    Ok(run_core(context, &events))
}

fn run_core(context: Context, events: &Receiver<Event>) -> ExitCode {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let core = actor!(stakker, Core::init(context), ret_nop!());
    loop {
        stakker.run(Instant::now(), false);
        if let Some(code) = EXIT.get() {
            return code;
        }
        let wait = stakker.next_wait(Instant::now()).unwrap_or(IDLE);
        let first = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return ExitCode::FAILURE,
        };
        call!([core], event(first));
        for event in events.try_iter().take(MAX_ROUND) {
            call!([core], event(event));
        }
    }
}

fn open_disk(
    settings: &Settings,
    own_peer: SocketAddr,
) -> Result<Option<(Identity, Store, coord::raft::RestoredState)>, DiskError> {
    let Some(path) = &settings.data else {
        return Ok(None);
    };
    let folder = Folder::open(path)?;
    let new = match settings.found_with.is_empty() {
        true => Identity::fresh(),
        false => Identity::first_voter(&settings.found_with, own_peer),
    };
    let identity = Identity::start(&folder, new)?;
    let (store, restored) = Store::open(folder)?;
    Ok(Some((identity, store, restored)))
}

fn listen(settings: &Settings) -> Result<Listeners, StartError> {
    Ok(Listeners {
        caller: bind("caller-listen", settings.caller, true)?,
        operator: bind("operator-listen", settings.operator.listen, false)?,
        endpoint: bind("endpoint-listen", settings.endpoint.listen, false)?,
        peer: bind("peer-listen", settings.peer.listen, true)?,
        relay: settings.relay.as_ref().map(listen_relay).transpose()?,
    })
}

fn listen_relay(settings: &RelaySettings) -> Result<RelayListeners, StartError> {
    let readiness = settings.readiness.map(|it| bind("relay-listen", it, true));
    Ok(RelayListeners {
        caller: bind("relay-listen", settings.listen, true)?,
        readiness: readiness.transpose()?,
    })
}

fn bind(flag: &'static str, addr: SocketAddr, shared: bool) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { flag, addr })?;
    listener.set_nonblocking(shared).context(ListenSnafu { flag, addr })?;
    Ok(listener)
}

impl Listeners {
    fn addresses(&self) -> Addresses {
        let addr = |it: &TcpListener| it.local_addr().expect("a bound listener has an address");
        Addresses {
            caller: addr(&self.caller),
            operator: addr(&self.operator),
            endpoint: addr(&self.endpoint),
            peer: addr(&self.peer),
            relay: self.relay.as_ref().map(|it| addr(&it.caller)),
        }
    }
}

/// All that runs on the network thread.
struct Network {
    caller: TcpListener,
    context: CallerContext,
    peer: TcpListener,
    secret: Arc<str>,
    outgoing: UnboundedReceiver<Outgoing>,
    batchers: UnboundedSender<BatcherEvent>,
    relay: Option<(RelayContext, RelayListeners)>,
    extras: Vec<Extra>,
}

impl Network {
    /// Starts the thread.
    fn start(self, inbox: Inbox) {
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("the runtime starts");
            LocalSet::new().block_on(&runtime, self.run(inbox));
        };
        let builder = thread::Builder::new().name("network".to_owned());
        builder.spawn(run).expect("the network thread starts");
    }

    async fn run(self, inbox: Inbox) {
        let client = PeerClient::new(self.secret.clone(), inbox.clone());
        tokio::spawn(client.run(self.outgoing));
        let served = peers::serve(self.peer, self.secret, inbox.clone(), self.batchers).await;
        let _handle = served.expect("the peers' listener can be served");
        for extra in self.extras {
            tokio::task::spawn_local(extra(inbox.clone()));
        }
        if let Some((context, listeners)) = self.relay {
            let relay = Relay::start(context);
            let serving = relay::serve(relay, listeners.caller, listeners.readiness);
            tokio::task::spawn_local(serving);
        }
        callers::serve(self.caller, self.context).await;
    }
}

fn watch_signals(inbox: Inbox) -> Result<(), StartError> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(SignalsSnafu)?;
    thread::spawn(move || {
        for _ in signals.forever() {
            inbox.send(Event::Stop);
        }
    });
    Ok(())
}

fn warn_of_narrowed(settings: &Settings) {
    let parts = [
        ("operator", &settings.operator),
        ("endpoint", &settings.endpoint),
        ("peer", &settings.peer),
    ];
    for (part, guarded) in parts {
        if guarded.narrowed {
            log::warn!(
                "[settings] No {part} secret is set. The {part} listener is bound to {} only.",
                guarded.listen.ip()
            );
        }
    }
}
