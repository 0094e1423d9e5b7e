//! A request through one daemon and four stages.

mod fixture;

use {
    fixture::{model_stages, new_request, start_system},
    harness::CallerResult,
};

#[test]
fn a_request_passes_four_stages_and_is_answered_completely() {
    let system = start_system(1, 0);

    let answer = system.cluster.daemon(0).caller().send(&new_request("notes", "a long history"));

    let CallerResult::Complete(answer) = answer else {
        panic!("incomplete: {answer:?}");
    };
    assert_eq!(answer.output, "generate:0 generate:1 generate:2 generate:3 ");
    assert_eq!(answer.stages.len(), model_stages().len());
}
