//! What makes two requests the same one.

use dillspool_suspects::{FingerprintError, FingerprintInput, FingerprintKey, RequestFingerprint};

const PARTS: FingerprintInput<'_> =
    FingerprintInput { caller: "caller", host: "a.example", path: "/x/1?y", body: b"body" };

fn print(parts: &FingerprintInput<'_>) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintKey::default(), parts)
}

#[test]
fn a_print_is_of_caller_host_path_and_body() {
    let others = [
        ("caller", FingerprintInput { caller: "other", ..PARTS }),
        ("host", FingerprintInput { host: "b.example", ..PARTS }),
        ("path", FingerprintInput { path: "/x/1", ..PARTS }),
        ("body", FingerprintInput { body: b"bodz", ..PARTS }),
        ("no body", FingerprintInput { body: b"", ..PARTS }),
        ("a part moved", FingerprintInput { caller: "callera.exa", host: "mple", ..PARTS }),
    ];
    assert_eq!(print(&PARTS), print(&PARTS));
    for (name, other) in others {
        assert_ne!(print(&PARTS), print(&other), "{name}");
    }
    assert_ne!(print(&PARTS), RequestFingerprint::of(&FingerprintKey::new("another key"), &PARTS));
}

#[test]
fn a_print_is_read_back_from_its_text() {
    let print = print(&PARTS);
    assert_eq!(print.to_string().parse(), Ok(print));
    for text in
        ["", "00", "g0000000000000000000000000000000", &"0".repeat(34), "ä".repeat(16).as_str()]
    {
        assert_eq!(text.parse::<RequestFingerprint>(), Err(FingerprintError), "{text}");
    }
}
