//! The address of an endpoint whose process ends and starts again.

use std::{
    io::copy,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// The interval between checks whether the process runs.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Passes connections on to the endpoint that runs at the address. Without one they are refused.
pub struct RestartingAddr {
    pub addr: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: Mutex<Option<SocketAddr>>,
    open: Mutex<Vec<TcpStream>>,
}

impl RestartingAddr {
    /// Listens on a free loopback port for an endpoint.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(State { target: Mutex::new(Some(target)), open: Mutex::default() });
        let shared = state.clone();
        thread::spawn(move || shared.listen(listener, addr));
        Self { addr, state }
    }

    /// Ends the process: connections are closed and new ones refused.
    pub fn stop(&self) {
        *self.state.target.lock().expect("lock poisoned") = None;
        self.reset();
    }

    /// Starts another process at the address.
    pub fn restart(&self, target: SocketAddr) {
        *self.state.target.lock().expect("lock poisoned") = Some(target);
    }

    /// Closes the connections only.
    pub fn reset(&self) {
        for it in self.state.open.lock().expect("lock poisoned").drain(..) {
            let _ = it.shutdown(Shutdown::Both);
        }
    }
}

impl State {
    fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().expect("lock poisoned")
    }

    fn listen(&self, mut listener: TcpListener, addr: SocketAddr) {
        loop {
            listener.set_nonblocking(true).expect("a listener can be non-blocking");
            while let Some(target) = self.target() {
                match listener.accept() {
                    Ok((stream, _)) => self.pass_on(&stream, target),
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            }
            drop(listener);
            while self.target().is_none() {
                thread::sleep(POLL_INTERVAL);
            }
            listener = loop {
                match TcpListener::bind(addr) {
                    Ok(it) => break it,
                    Err(_) => thread::sleep(POLL_INTERVAL),
                }
            };
        }
    }

    fn pass_on(&self, stream: &TcpStream, target: SocketAddr) {
        stream.set_nonblocking(false).expect("a connection can be blocking");
        let Ok(upstream) = TcpStream::connect(target) else {
            return;
        };
        let clone = |it: &TcpStream| it.try_clone().expect("a socket can be cloned");
        self.open.lock().expect("lock poisoned").extend([clone(stream), clone(&upstream)]);
        for (mut from, mut to) in
            [(clone(stream), clone(&upstream)), (clone(&upstream), clone(stream))]
        {
            thread::spawn(move || {
                // Either end may close the connection.
                let _ = copy(&mut from, &mut to);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
        }
    }
}
