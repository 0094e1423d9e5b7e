//! Pins texts of the relay that operators' tools match in logs.

use daemon::relay::PieceError;

#[test]
fn reasons_of_failed_pieces_keep_the_text_that_logs_show() {
    let errors = [
        PieceError::Late,
        PieceError::Gone,
        PieceError::Room,
        PieceError::Failed,
        PieceError::Down,
        PieceError::Unreachable,
    ];

    let text = format!("{:?}", errors.map(Some));

    assert_eq!(
        text,
        "[Some(Late), Some(Gone), Some(Room), Some(Failed), Some(Down), Some(Unreachable)]"
    );
}
