//! Pins the JSON of the messages that instances of different builds exchange
//! about leases, so that a renamed field doesn't change it.

use {
    coord::{
        control::{
            Envelope, Feed, PeerRefusal, ProposalError, RenewError, RenewReply, RenewRequest,
            ShareHolder, Status, Token, Update, UpdateForm,
        },
        ids::{Incarnation, Index, NodeId},
        load::{LoadReply, LoadRequest},
        tables::{Command, Delta, Outcome, Rollout, RolloutPhase, Tables},
        time::Millis,
    },
    serde::{Serialize, de::DeserializeOwned},
};

/// Reads a message and writes it again.
fn rewrite<T: Serialize + DeserializeOwned>(json: &str) -> String {
    let value: T = serde_json::from_str(json).expect("the message of an earlier build is read");
    serde_json::to_string(&value).expect("a message can be written")
}

#[test]
fn a_renewal_keeps_its_fields() {
    let json = concat!(
        r#"{"node":"0000000000000007","incarnation":2,"seq":3,"have":40,"version":5,"grants":6,"#,
        r#""over":[{"endpoint":"e","slots":3}],"holdings":[{"endpoint":"e","slots":2}],"#,
        r#""heard":[{"endpoint":"e","generation":8,"load":1}],"#,
        r#""trouble":[{"endpoint":"e","generation":8,"kind":"refused"},"#,
        r#"{"endpoint":"e","generation":8,"kind":"failed"},"#,
        r#"{"endpoint":"e","generation":8,"kind":"silent"}],"#,
        r#""good":[["e",8]],"demand":[{"pool":"p","flying":4,"queued":5}],"#,
        r#""teams":[{"team":"t","flying":6}],"leaving":true}"#,
    );

    assert_eq!(rewrite::<RenewRequest>(json), json);
}

#[test]
fn a_renewal_says_what_is_read_packed_and_that_of_an_earlier_build_less() {
    let renewal = |packed: &str| {
        format!(
            concat!(
                r#"{{"node":"0000000000000007","incarnation":2,"seq":3,"have":40,"version":5,"#,
                r#""grants":6,"over":[],"holdings":null,"heard":[],"trouble":[],"good":[],"#,
                r#""demand":[],"teams":[],{}"leaving":false}}"#,
            ),
            packed
        )
    };
    for (text, packed, tables) in [
        ("", false, false),
        (r#""packed":true,"#, true, false),
        (r#""packed":true,"packed_tables":true,"#, true, true),
    ] {
        let json = renewal(text);
        let read: RenewRequest = serde_json::from_str(&json).expect("it is read");
        assert_eq!((read.packed, read.packed_tables), (packed, tables));
        assert_eq!(rewrite::<RenewRequest>(&json), json);
    }
}

#[test]
fn the_load_of_endpoints_keeps_its_fields_and_is_left_out_where_it_is_not_shared() {
    for json in [
        "{}",
        r#"{"capacity":1500,"wanted":true}"#,
        r#"{"rows":[]}"#,
        r#"{"rows":[["e",8,2,3,450]]}"#,
    ] {
        assert_eq!(rewrite::<LoadRequest>(json), json);
    }
    for json in [
        "{}",
        r#"{"sums":{"age":250,"check":7,"rows":"AkE="}}"#,
        r#"{"sums":{"age":250,"check":7,"rows":"AkE="},"is_behind":true}"#,
    ] {
        assert_eq!(rewrite::<LoadReply>(json), json);
    }
}

#[test]
fn the_answer_to_a_renewal_keeps_its_fields() {
    let reply = |update: &str| {
        format!(
            concat!(
                r#"{{"term":9,"seq":3,"lease":2400,"update":{},"index":41,"#,
                r#""grants":{{"number":7,"shares":[{{"endpoint":"e","slots":2}}]}},"#,
                r#""loads":[{{"endpoint":"e","generation":8,"load":1}}],"#,
                r#""teams":[{{"team":"t","flying":6}}],"want_holdings":true}}"#,
            ),
            update
        )
    };
    for json in [
        reply(r#""same""#),
        reply(r#"{"steps":[]}"#),
        reply(r#"{"packed_deltas":"ABC="}"#),
        reply(r#"{"packed_tables":{"tables":"ABC=","catalog":"ABC="}}"#),
        reply(r#""same""#).replace("true}", r#"true,"shares_in":700}"#),
    ] {
        assert_eq!(rewrite::<RenewReply>(&json), json);
    }
    for json in [
        r#"{"not_leader":{"leader":"127.0.0.1:1"}}"#,
        r#""not_ready""#,
        r#""not_member""#,
        r#""superseded""#,
    ] {
        assert_eq!(rewrite::<RenewError>(json), json);
    }
}

#[test]
fn an_envelope_and_its_refusal_keep_their_fields() {
    let json = r#"{"system":"0000000000000001","from":"0000000000000007","incarnation":2,"nonce":3,"last":4,"body":5}"#;

    assert_eq!(rewrite::<Envelope<u32>>(json), json);
    for json in [
        r#"{"foreign":{"ours":"0000000000000001","theirs":"0000000000000002"}}"#,
        r#""outdated""#,
        r#""cloned""#,
        r#"{"lost_data":{"has":1,"had":2}}"#,
    ] {
        assert_eq!(rewrite::<PeerRefusal>(json), json);
    }
}

#[test]
fn a_failed_proposal_keeps_its_form() {
    for json in [
        r#"{"not_leader":{"leader":null}}"#,
        r#""busy""#,
        r#""lost""#,
        r#"{"refused":{"reason":"r"}}"#,
    ] {
        assert_eq!(rewrite::<ProposalError>(json), json);
    }
}

#[test]
fn a_status_keeps_its_fields() {
    let json = concat!(
        r#"{"leader":"0000000000000007","term":9,"version":5,"in_force":null,"#,
        r#""members":[{"id":"0000000000000007","name":"i","domain":"d","peer":"127.0.0.1:1","vote":"voter","#,
        r#""disk":true,"lease":true,"version":5}],"#,
        r#""endpoints":[{"name":"e","pool":"p","domain":"d","addr":"127.0.0.1:9","#,
        r#""generation":8,"state":"warm","in_service":true,"allowed":8,"granted":2}]}"#,
    );

    assert_eq!(rewrite::<Status>(json), json);
    assert_eq!(rewrite::<Token>("7"), "7");
    let holder = ShareHolder { node: NodeId(7), incarnation: Incarnation(2) };
    let json = serde_json::to_string(&holder).expect("a holder can be written");
    assert_eq!(json, r#"{"node":"0000000000000007","incarnation":2}"#);
}

/// Guards against messages of an instance without a rollout that differ from those of earlier
/// builds, and against fields of rollouts that are lost on the way.
#[test]
fn rollouts_are_in_messages_only_where_there_is_one() {
    let request = |rollouts: &str| {
        format!(
            concat!(
                r#"{{"node":"0000000000000007","incarnation":2,"seq":3,"have":40,"version":5,"#,
                r#""grants":6,"over":[],"holdings":null,"heard":[],"trouble":[],"good":[],"#,
                r#""demand":[],"teams":[],"packed":true,"packed_tables":true,{}"leaving":false}}"#,
            ),
            rollouts
        )
    };
    let report = concat!(
        r#""reads_rollouts":true,"rollouts":[{"pool":"p","number":9,"phase":"trial","#,
        r#""known_for":50,"seq":2,"base":1,"requests":100,"new_sends":4,"grant":7,"held":1,"#,
        r#""old_in_flight":3,"new_in_flight":1,"old_run":20,"#,
        r#""totals":{"requests":90,"sends":5},"evidence":[{"route":"r","endpoint":"e","#,
        r#""is_new":true,"answers":3,"failures":1,"times":[[4,2]]}]}],"#,
    );
    let reply = |rollouts: &str| {
        format!(
            concat!(
                r#"{{"term":9,"seq":3,"lease":2400,"update":{{"steps":[[41,{{"rollout":"#,
                r#"{{"pool":"p","to":"v2","duration":5000,"number":41,"phase":"rolled_back"}}}}]]}},"#,
                r#""index":41,"grants":null,"loads":[],"teams":[],"want_holdings":false{}}}"#,
            ),
            rollouts
        )
    };
    let grant = concat!(
        r#","rollouts":[{"pool":"p","number":9,"id":8,"sends":2,"endpoints":["e"],"seen":2,"#,
        r#""totals":{"requests":90,"sends":5}}]"#,
    );

    for json in [request(""), request(report)] {
        assert_eq!(rewrite::<RenewRequest>(&json), json);
    }
    for json in [reply(""), reply(grant)] {
        assert_eq!(rewrite::<RenewReply>(&json), json);
    }
    assert!(!serde_json::to_string(&Tables::default()).expect("JSON").contains("rollouts"));
}

/// Guards against log entries and answers that another build of this version can't read.
#[test]
fn commands_of_rollouts_and_their_outcomes_keep_their_forms() {
    for json in [
        r#"{"start_rollout":{"order":{"pool":"p","to":"v2","duration":5000},"after":0}}"#,
        concat!(
            r#"{"start_rollout":{"order":{"pool":"p","to":"v2","duration":5000},"after":7,"#,
            r#""again":true}}"#,
        ),
        r#"{"set_rollout_phase":{"pool":"p","number":7,"phase":"switch"}}"#,
    ] {
        assert_eq!(rewrite::<Command>(json), json);
    }
    for json in [
        r#"{"rollout":{"result":"started","number":7}}"#,
        r#"{"rollout":{"result":"repeated","number":7}}"#,
        r#"{"rollout":{"result":"conflict","number":7,"to":"v2"}}"#,
        r#"{"rollout":{"result":"unknown_pool"}}"#,
        r#"{"rollout":{"result":"invalid","reason":"r"}}"#,
        r#"{"rollout":{"result":"overtaken"}}"#,
    ] {
        assert_eq!(rewrite::<Outcome>(json), json);
    }
}

/// Guards against an instance of an earlier build that is sent a delta that it can't read and
/// loses its lease.
#[test]
fn an_instance_that_does_not_read_rollouts_gets_whole_tables_instead_of_their_deltas() {
    let rollout = Rollout {
        pool: "p".parse().expect("a name"),
        to: "v2".parse().expect("a version"),
        duration: Millis(5000),
        number: 41,
        phase: RolloutPhase::Trial,
    };
    let mut tables = Tables::default();
    let delta = Delta::Rollout(rollout);
    tables.apply(&delta).expect("only deltas of the catalog can fail");
    let mut feed = Feed::start(Index(40));
    feed.push(Index(41), delta);

    let mut update = |form, at| feed.update(Index(at), form, &tables);

    assert!(matches!(update(UpdateForm::Plain, 40), Update::Full(_)));
    assert!(matches!(update(UpdateForm::PackedCatalog, 40), Update::Packed { .. }));
    assert!(matches!(update(UpdateForm::Packed, 40), Update::PackedTables { .. }));
    assert!(matches!(update(UpdateForm::WithRollouts, 40), Update::Deltas(_)));
    assert!(matches!(update(UpdateForm::Packed, 41), Update::Same));
}
