//! What makes two requests the same one.

use dillspool_suspects::{MalformedPrint, PrintKey, PrintParts, RequestPrint};

const PARTS: PrintParts<'_> =
    PrintParts { caller: "caller", host: "a.example", path: "/x/1?y", body: b"body" };

fn print(parts: &PrintParts<'_>) -> RequestPrint {
    RequestPrint::of(&PrintKey::default(), parts)
}

#[test]
fn a_print_is_of_caller_host_path_and_body() {
    let others = [
        ("caller", PrintParts { caller: "other", ..PARTS }),
        ("host", PrintParts { host: "b.example", ..PARTS }),
        ("path", PrintParts { path: "/x/1", ..PARTS }),
        ("body", PrintParts { body: b"bodz", ..PARTS }),
        ("no body", PrintParts { body: b"", ..PARTS }),
        ("a part moved", PrintParts { caller: "callera.exa", host: "mple", ..PARTS }),
    ];
    assert_eq!(print(&PARTS), print(&PARTS));
    for (name, other) in others {
        assert_ne!(print(&PARTS), print(&other), "{name}");
    }
    assert_ne!(print(&PARTS), RequestPrint::of(&PrintKey::new("another key"), &PARTS));
}

#[test]
fn a_print_is_read_back_from_its_text() {
    let print = print(&PARTS);
    assert_eq!(print.to_string().parse(), Ok(print));
    for text in
        ["", "00", "g0000000000000000000000000000000", &"0".repeat(34), "ä".repeat(16).as_str()]
    {
        assert_eq!(text.parse::<RequestPrint>(), Err(MalformedPrint), "{text}");
    }
}
