//! One request through a real daemon and four stages.

mod fixture;

use {
    fixture::{ask, four_stages, small_system},
    harness::CallerResult,
};

#[test]
fn a_request_passes_four_stages_and_comes_back_whole() {
    let system = small_system(1, 0);

    let answer = system.cluster.daemon(0).caller().send(&ask("notes", "a long history"));

    let CallerResult::Complete(answer) = answer else {
        panic!("not whole: {answer:?}");
    };
    assert_eq!(answer.output, "generate:0 generate:1 generate:2 generate:3 ");
    assert_eq!(answer.stages.len(), four_stages().len());
}
