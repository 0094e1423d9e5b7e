//! The number of requests that the leader allows at each endpoint.

use coord::{
    control::{EndpointReport, EndpointTable, FaultKind},
    ids::{Generation, Slots},
    tables::{Endpoint, EndpointState, Tables},
    time::{Millis, Time},
};

const START: Time = Time(1000);

fn tables(state: EndpointState) -> Tables {
    let endpoint = Endpoint {
        name: "e".parse().expect("a name"),
        pool: "p".parse().expect("a name"),
        domain: "d".parse().expect("a name"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        generation: Generation(1),
        state,
        slots: Slots(8),
        cold_slots: Slots(2),
        version: None,
    };
    let mut tables = Tables::default();
    tables.endpoints.insert(endpoint.name.clone(), endpoint);
    tables
}

fn report() -> EndpointReport {
    EndpointReport { endpoint: "e".parse().expect("a name"), generation: Generation(1), load: 0 }
}

/// Returns an endpoint that has been ramped up to its full slots.
fn ramped() -> (EndpointTable, Tables, Time) {
    let (mut table, tables, mut now) =
        (EndpointTable::default(), tables(EndpointState::Warm), START);
    table.reload(&tables, now);
    while table.allowed(&report().endpoint, now) < Slots(8) {
        table.record_report(&report(), now);
        table.record_success(&report().endpoint, Generation(1));
        table.tick(&tables, now);
        now = now + Millis(100);
        assert!(now < START + Millis(10_000), "the ramp ends");
    }
    table.tick(&tables, now);
    (table, tables, now)
}

#[test]
fn an_endpoint_starts_at_its_cold_limit_and_is_ramped_up_while_requests_succeed() {
    let mut table = EndpointTable::default();
    table.reload(&tables(EndpointState::Warm), START);
    let first = table.allowed(&report().endpoint, START);

    let (ramped, _, now) = ramped();

    assert_eq!(first, Slots(2));
    assert_eq!(ramped.allowed(&report().endpoint, now), Slots(8));
}

#[test]
fn an_endpoint_that_reports_cold_stays_at_its_cold_limit() {
    let (mut table, tables) = (EndpointTable::default(), tables(EndpointState::Cold));
    table.reload(&tables, START);

    for passed in (0..5000).step_by(100) {
        let now = START + Millis(passed);
        table.record_report(&report(), now);
        table.record_success(&report().endpoint, Generation(1));
        table.tick(&tables, now);
        assert_eq!(table.allowed(&report().endpoint, now), Slots(2));
    }
}

#[test]
fn a_refusal_holds_the_endpoint_at_its_cold_limit() {
    let (mut table, tables, now) = ramped();

    table.record_fault(&tables.endpoints[0], FaultKind::Refused, now);
    table.record_success(&report().endpoint, Generation(1));
    table.tick(&tables, now + Millis(500));

    assert_eq!(table.allowed(&report().endpoint, now + Millis(500)), Slots(2));
}

/// Returns the number of requests that an endpoint which is cold until `warm`
/// refuses, if it gets as many as it is allowed at each tick.
fn refusals(table: &mut EndpointTable, tables: &Tables, from: Time, warm: Time) -> u32 {
    let mut refused = 0;
    let mut now = from;
    while now < warm {
        table.record_report(&report(), now);
        table.record_success(&report().endpoint, Generation(1));
        table.tick(tables, now);
        if table.allowed(&report().endpoint, now) > Slots(2) {
            refused += 1;
            table.record_fault(&tables.endpoints[0], FaultKind::Refused, now);
        }
        now = now + Millis(50);
    }
    refused
}

#[test]
fn an_unreported_cold_start_is_held_for_the_start_time_of_its_pool() {
    let mut table = EndpointTable::default();
    table.reload(&tables(EndpointState::Cold), START);
    let warm = START + Millis(4000);
    table.reload(&tables(EndpointState::Warm), warm);
    let restart = warm + Millis(5000);
    let tables = tables(EndpointState::Warm);
    table.record_fault(&tables.endpoints[0], FaultKind::Refused, restart);

    let refused = refusals(&mut table, &tables, restart, restart + Millis(4000));

    assert_eq!(refused, 0);
}

#[test]
fn the_hold_doubles_with_each_refused_step() {
    let (mut table, tables, now) = ramped();
    table.record_fault(&tables.endpoints[0], FaultKind::Refused, now);

    let refused = refusals(&mut table, &tables, now, now + Millis(14_000));

    assert_eq!(refused, 3, "after one, two and four seconds more");
}

#[test]
fn a_silent_endpoint_gets_nothing_and_resumes_at_its_cold_limit() {
    let (mut table, tables, now) = ramped();
    let later = now + Millis(4000);

    let changed = table.tick(&tables, later);
    let silent = table.allowed(&report().endpoint, later);
    table.record_report(&report(), later);
    let back = table.tick(&tables, later);

    assert!(changed && back, "the shares are allocated again both times");
    assert_eq!(silent, Slots(0));
    assert_eq!(table.allowed(&report().endpoint, later), Slots(2));
}

#[test]
fn an_endpoint_brought_back_into_service_starts_at_its_cold_limit() {
    let (mut table, mut tables, now) = ramped();
    tables.out_domains.insert("d".parse().expect("a name"));
    table.reload(&tables, now);
    let out = table.allowed(&report().endpoint, now);

    tables.out_domains.clear();
    table.reload(&tables, now);

    assert_eq!(out, Slots(0));
    assert_eq!(table.allowed(&report().endpoint, now), Slots(2));
}

#[test]
fn an_endpoint_with_the_most_slots_is_ramped_up_to_them() {
    let mut tables = tables(EndpointState::Warm);
    tables.endpoints[0].slots = Slots(u32::MAX);
    let (mut table, mut now) = (EndpointTable::default(), START);
    table.reload(&tables, now);

    for _ in 0..100 {
        table.record_report(&report(), now);
        table.record_success(&report().endpoint, Generation(1));
        table.tick(&tables, now);
        now = now + Millis(400);
    }

    assert_eq!(table.allowed(&report().endpoint, now), Slots(u32::MAX));
}
