//! Orders that an instance reads once their caller has given up on them.

use {
    coord::tables::{ChangeOutcome, Edit, Target},
    harness::{Cluster, ClusterSpec, LONG_TIMEOUT, new_change, wait_until},
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
};

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// How long a caller waits before it asks another instance.
const PATIENCE: Duration = Duration::from_millis(500);
/// Longer than an instance goes on with an order.
const SETTLED: Duration = Duration::from_millis(2500);
const DOMAIN: &str = "north";

fn take_out() -> Edit {
    Edit::TakeOut(Target::Domain(DOMAIN.parse().expect("a name")))
}

fn bring_back() -> Edit {
    Edit::BringBack(Target::Domain(DOMAIN.parse().expect("a name")))
}

fn is_out(cluster: &Cluster, i: usize) -> bool {
    let tables = cluster.daemon(i).operator().tables().expect("the tables are read");
    tables.out_of_service.iter().any(|it| it.contains(DOMAIN))
}

fn order(cluster: &Cluster, i: usize, edit: Edit) {
    let change = new_change(None, vec![edit]);
    wait_until("the order is accepted", LONG_TIMEOUT, || {
        let answer = cluster.daemon(i).operator().change(&change);
        matches!(answer, Ok(ChangeOutcome::Accepted { .. }))
    });
}

/// Sends an order and doesn't read the answer.
fn send_order(addr: SocketAddr, edit: Edit) -> TcpStream {
    let body = serde_json::to_string(&new_change(None, vec![edit])).expect("it can be written");
    let mut stream = TcpStream::connect(addr).expect("the listener's queue has room");
    let request = format!(
        "POST /v1/changes HTTP/1.1\r\nhost: mangobend\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).expect("the kernel takes it");
    stream
}

/// Orders the opposite of `kept` at an instance that stands still, then elsewhere, then `kept`
/// elsewhere; the first order is read after that.
fn overtake(cluster: &Cluster, kept: fn() -> Edit, late: fn() -> Edit, pause: u64, hangs_up: bool) {
    let leader = cluster.leader();
    let (frozen, steady) = ((leader + 1) % 3, (leader + 2) % 3);
    order(cluster, steady, kept());
    let process = &cluster.daemon(frozen).proc;

    process.signal(SIGSTOP);
    let stream = send_order(cluster.daemon(frozen).addrs.operator, late());
    thread::sleep(PATIENCE);
    let open = (!hangs_up).then_some(stream);
    order(cluster, steady, late());
    order(cluster, leader, kept());
    thread::sleep(Duration::from_millis(pause).saturating_sub(PATIENCE));
    process.signal(SIGCONT);
    thread::sleep(SETTLED);

    let expected = kept() == take_out();
    assert_eq!(
        is_out(cluster, leader),
        expected,
        "{:?} was undone by a late order, pause {pause} ms, hangs up: {hangs_up}",
        kept()
    );
    drop(open);
    cluster.wait_ready();
}

/// Guards against an order that is carried out after its caller had it acknowledged elsewhere
/// and ordered the opposite.
#[test]
fn an_order_read_late_does_not_undo_the_orders_that_came_after_it() {
    let cluster = ClusterSpec::new(3, 0).start();
    for pause in [700, 1250] {
        for hangs_up in [true, false] {
            overtake(&cluster, take_out, bring_back, pause, hangs_up);
            overtake(&cluster, bring_back, take_out, pause, hangs_up);
        }
    }
}

/// Guards against a change that was accepted, is sent again to an instance that stands still, and
/// is refused as if it weren't taken.
#[test]
fn a_copy_of_an_accepted_change_that_is_read_late_gets_its_outcome() {
    let cluster = ClusterSpec::new(3, 0).start();
    let leader = cluster.leader();
    let frozen = (leader + 1) % 3;
    let change = new_change(None, vec![take_out()]);
    let accepted = cluster.daemon(leader).operator().change(&change).expect("it is accepted");
    let process = &cluster.daemon(frozen).proc;

    process.signal(SIGSTOP);
    let copy = thread::scope(|scope| {
        let sent = scope.spawn(|| cluster.daemon(frozen).operator().change(&change));
        thread::sleep(Duration::from_millis(900));
        process.signal(SIGCONT);
        sent.join().expect("the copy is sent")
    });

    assert_eq!(copy.expect("it is answered"), accepted);
}
