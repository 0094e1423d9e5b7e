//! Starts the threads around the core loop and runs it.

use {
    crate::{
        callers::{self, CallerContext},
        core::{Context, Core},
        disk::{DiskError, DiskWriter, Folder, Identity, Store},
        endpoints::{self, EndpointClient},
        event::{Event, Inbox, MAX_EVENTS},
        memory::Memory,
        operators,
        peers::{self, Outgoing, PeerClient},
        relay::RelaySettings,
        relay::{self, BatcherEvent, DrainState, Relay, RelayContext},
        rollout_handle::RolloutHandle,
        settings::{self, Action, Settings},
        tables_clock::TablesClock,
        telemetry::{Meters, start_logs},
    },
    coord::{
        ids::Bytes,
        limits::SharedGate,
        load::{LoadView, SharedLoad},
        memory::MemoryUse,
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

/// The most events handled before due timers run.
const MAX_EVENTS_PER_TURN: usize = 32;
/// The longest wait for an event when no timer is set.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Why the daemon can't start.
#[derive(Debug, Snafu)]
enum StartError {
    #[snafu(display("{source}"))]
    Settings { source: settings::SettingsError },
    #[snafu(display("{source}"))]
    Disk { source: DiskError },
    #[snafu(display("can't listen on {addr}, the address of --{flag}: {source}"))]
    Listen { flag: &'static str, addr: SocketAddr, source: io::Error },
    #[snafu(display("can't register the signal handlers: {source}"))]
    Signals { source: io::Error },
}

/// The addresses that the listeners are bound to, printed as the daemon's first line
/// of output.
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

/// A service of the embedding program, run on the network thread beside the daemon's
/// own services.
pub type ExtraService = Box<dyn FnOnce(Inbox, Memory) -> Pin<Box<dyn Future<Output = ()>>> + Send>;

thread_local! {
    static EXIT: Cell<Option<ExitCode>> = const { Cell::new(None) };
}

/// Makes the core loop return this exit code after its current turn. For the core
/// loop's thread only.
pub fn set_exit_code(code: ExitCode) {
    EXIT.set(Some(code));
}

/// Runs the daemon with the settings from the command line and the environment.
pub fn run() -> ExitCode {
    let args = std::env::args_os().skip(1);
    let parsed = settings::parse(args, |name| std::env::var(name).ok());
    let result = match parsed.context(SettingsSnafu) {
        Ok(Action::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Ok(Action::Check) => {
            println!("the settings are valid");
            return ExitCode::SUCCESS;
        }
        Ok(Action::Run(settings)) => return launch(*settings, Vec::new()),
        Err(err) => Err(err),
    };
    exit_code(result)
}

/// Runs the daemon with validated settings and additional services.
pub fn launch(settings: Settings, extras: Vec<ExtraService>) -> ExitCode {
    exit_code(start(settings, extras))
}

fn exit_code(result: Result<ExitCode, StartError>) -> ExitCode {
    match result {
        Ok(code) => code,
        Err(err) => {
            eprintln!("mangobendd: {err}");
            ExitCode::FAILURE
        }
    }
}

fn start(settings: Settings, extras: Vec<ExtraService>) -> Result<ExitCode, StartError> {
    start_logs(settings.log_level, settings.log_format, &settings.log_crates);
    warn_of_loopback_fallback(&settings);
    let listeners = listen(&settings)?;
    let addresses = listeners.addresses();
    let peer_addr = settings.advertise.unwrap_or(addresses.peer);
    let disk = open_disk(&settings, peer_addr).context(DiskSnafu)?;
    let (sender, events) = sync_channel(MAX_EVENTS);
    let inbox = Inbox::new(sender);
    watch_signals(inbox.clone())?;
    let meters = Meters::install(settings.team_series);
    let memory = Memory::new(settings.memory, memory_use(&settings));
    let ready = Arc::new(AtomicBool::new(false));
    let (peers, outgoing) = unbounded_channel();
    let Listeners { caller, operator, endpoint, peer, relay } = listeners;
    let drain = Arc::new(DrainState::default());
    let (tables, tables_rx) = watch::channel(Arc::default());
    let (suspects, suspects_rx) = watch::channel(Arc::default());
    let (mixed, mixed_rx) = watch::channel(Arc::default());
    let (cut, cut_rx) = watch::channel(Arc::default());
    let relay_addr = addresses.relay.map(|it| SocketAddr::new(peer_addr.ip(), it.port()));
    let (gate, start) = (SharedGate::default(), Instant::now());
    let rollouts = RolloutHandle::default();
    let clock = TablesClock::default();
    let load = SharedLoad::new(LoadView::new(settings.load, rand::random()));
    let context = CallerContext {
        inbox: inbox.clone(),
        max_body: settings.max_body,
        max_connections: settings.max_connections,
        ready: ready.clone(),
        memory: memory.clone(),
        drain: drain.clone(),
    };
    let (batchers, batcher_events) = unbounded_channel();
    let peer_secret = settings.peer.secret.clone();
    let relay = settings.relay.clone().zip(relay).map(|(settings, listeners)| {
        let (tables, drain, gate) = (tables_rx, drain.clone(), gate.clone());
        let rollouts = rollouts.clone();
        let load = load.clone();
        let clock = clock.clone();
        let secret = peer_secret.clone();
        let context = RelayContext {
            settings,
            tables,
            batcher_events,
            drain,
            inbox: inbox.clone(),
            suspects: suspects_rx,
            mixed: mixed_rx,
            cut: cut_rx,
            gate,
            rollouts,
            load,
            clock,
            start,
            peer: peer_addr,
            secret,
            memory: memory.clone(),
        };
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
        memory: memory.clone(),
    };
    network.start(inbox.clone());
    let secret = settings.operator.secret.clone();
    operators::serve(operator, secret, inbox.clone(), meters.handle(), memory.clone());
    endpoints::listen(endpoint, settings.endpoint.secret.clone(), inbox.clone(), memory.clone());
    let (identity, disk) = match disk {
        Some((identity, store, restored)) => {
            (identity, Some((DiskWriter::start(store, inbox.clone()), restored)))
        }
        None => (Identity::generate(), None),
    };
    let context = Context {
        peer_addr,
        tables,
        suspects,
        mixed,
        cut,
        relay_addr,
        drain,
        endpoints: EndpointClient::new(settings.endpoint_threads, inbox, gate.clone()),
        gate,
        rollouts,
        load,
        clock,
        settings,
        identity,
        disk,
        peers,
        meters,
        ready,
        start,
        seed: rand::random(),
    };
    println!("{}", serde_json::to_string(&addresses).expect("addresses can be serialized"));
    Ok(run_core(context, &events))
}

/// What the process does, as far as it decides how its memory is shared out.
fn memory_use(settings: &Settings) -> MemoryUse {
    MemoryUse {
        relays: settings.relay.is_some(),
        votes: settings.data.is_some(),
        takes_configurations: settings.takes_configurations,
        longest_body: Bytes(settings.max_body as u64),
        max_calls: settings.endpoint_threads,
        ..MemoryUse::default()
    }
}

/// Runs the core loop on this thread until it sets an exit code.
fn run_core(context: Context, events: &Receiver<Event>) -> ExitCode {
    let mut stakker = Stakker::new(Instant::now());
    let stakker = &mut stakker;
    let core = actor!(stakker, Core::init(context), ret_nop!());
    loop {
        stakker.run(Instant::now(), false);
        if let Some(code) = EXIT.get() {
            return code;
        }
        let wait = stakker.next_wait(Instant::now()).unwrap_or(MAX_WAIT);
        let first = match events.recv_timeout(wait) {
            Ok(event) => event,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return ExitCode::FAILURE,
        };
        call!([core], event(first));
        for event in events.try_iter().take(MAX_EVENTS_PER_TURN) {
            call!([core], event(event));
        }
    }
}

/// Opens the data folder, if one is set, and restores its state. A new folder gets a
/// fresh identity, or that of a first voter if the settings list the first voters.
fn open_disk(
    settings: &Settings,
    peer_addr: SocketAddr,
) -> Result<Option<(Identity, Store, coord::raft::RestoredState)>, DiskError> {
    let Some(path) = &settings.data else {
        return Ok(None);
    };
    let folder = Folder::open(path)?;
    let new = match settings.found_with.is_empty() {
        true => Identity::generate(),
        false => Identity::first_voter(&settings.found_with, peer_addr),
    };
    let identity = Identity::load_or_create(&folder, new)?;
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

/// Binds a listener; `nonblocking` for those that an async runtime serves.
fn bind(
    flag: &'static str,
    addr: SocketAddr,
    nonblocking: bool,
) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(addr).context(ListenSnafu { flag, addr })?;
    listener.set_nonblocking(nonblocking).context(ListenSnafu { flag, addr })?;
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

/// The listeners and channels of the services on the network thread.
struct Network {
    caller: TcpListener,
    context: CallerContext,
    peer: TcpListener,
    secret: Arc<str>,
    outgoing: UnboundedReceiver<Outgoing>,
    batchers: UnboundedSender<BatcherEvent>,
    relay: Option<(RelayContext, RelayListeners)>,
    extras: Vec<ExtraService>,
    memory: Memory,
}

impl Network {
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
        tokio::spawn(self.memory.clone().publish());
        let client = PeerClient::new(self.secret.clone(), inbox.clone());
        tokio::spawn(client.run(self.outgoing));
        let (peer, secret, memory) = (self.peer, self.secret, self.memory.clone());
        tokio::spawn(peers::serve(peer, secret, inbox.clone(), self.batchers, memory));
        for extra in self.extras {
            tokio::task::spawn_local(extra(inbox.clone(), self.memory.clone()));
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

/// Warns of listeners that are restricted to loopback because no secret is set.
fn warn_of_loopback_fallback(settings: &Settings) {
    let parts = [
        ("operator", &settings.operator),
        ("endpoint", &settings.endpoint),
        ("peer", &settings.peer),
    ];
    for (part, guarded) in parts {
        if guarded.forced_loopback {
            log::warn!(
                "[settings] No {part} secret is set. The {part} listener is bound to {} only.",
                guarded.listen.ip()
            );
        }
    }
}
