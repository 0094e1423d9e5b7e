//! Where a stream of server-sent events may end.

use {coord::relay::EventScanner, quickcheck::quickcheck};

fn scan(text: &str) -> EventScanner {
    let mut scanner = EventScanner::default();
    scanner.push(text.as_bytes());
    scanner
}

#[test]
fn only_a_blank_line_ends_an_event() {
    let cases = [
        ("", 0, false),
        ("id: 1", 0, true),
        ("id: 1\n", 0, true),
        ("id: 1\ndata: a\n", 0, true),
        ("id: 1\ndata: a\n\n", 1, false),
        ("id: 1\ndata: a\n\ni", 1, true),
        ("data: a\r\n\r\n", 1, false),
        ("data: a\r\n\r", 1, false),
        ("data: a\r\n", 0, true),
        ("data: a\r\rdata: b\r\r", 2, false),
        ("\n\n\n", 0, false),
    ];
    for (text, events, partial) in cases {
        let scanner = scan(text);

        assert_eq!((scanner.events(), scanner.is_partial()), (events, partial), "{text:?}");
    }
}

#[test]
fn comments_are_no_events() {
    let between = scan(": keep-alive\n\ndata: a\n\n: keep-alive\n");
    let inside = scan("data: a\n: comment\n");

    assert_eq!((between.events(), between.is_partial()), (1, false));
    assert!(inside.is_partial());
}

quickcheck! {
    fn the_split_of_the_bytes_does_not_matter(choices: Vec<u8>, cuts: Vec<usize>) -> bool {
        let alphabet = [b'a', b':', b'\r', b'\n'];
        let bytes: Vec<u8> = choices.iter().map(|it| alphabet[*it as usize % 4]).collect();
        let mut whole = EventScanner::default();
        whole.push(&bytes);

        let mut split = EventScanner::default();
        let mut rest = &bytes[..];
        for cut in cuts {
            let (head, tail) = rest.split_at(cut % (rest.len() + 1));
            split.push(head);
            rest = tail;
        }
        split.push(rest);

        whole == split
    }
}
