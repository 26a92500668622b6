//! Which requests have the same fingerprint, and its text form.

use dillspool_suspects::{FingerprintError, FingerprintInput, FingerprintKey, RequestFingerprint};

const PARTS: FingerprintInput<'_> =
    FingerprintInput { caller: "caller", host: "a.example", path: "/x/1?y", body: b"body" };

fn fingerprint(parts: &FingerprintInput<'_>) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintKey::default(), parts)
}

#[test]
fn fingerprint_covers_caller_host_path_and_body() {
    let others = [
        ("caller", FingerprintInput { caller: "other", ..PARTS }),
        ("host", FingerprintInput { host: "b.example", ..PARTS }),
        ("path", FingerprintInput { path: "/x/1", ..PARTS }),
        ("body", FingerprintInput { body: b"bodz", ..PARTS }),
        ("no body", FingerprintInput { body: b"", ..PARTS }),
        (
            "boundary between parts moved",
            FingerprintInput { caller: "callera.exa", host: "mple", ..PARTS },
        ),
    ];
    assert_eq!(fingerprint(&PARTS), fingerprint(&PARTS));
    for (name, other) in others {
        assert_ne!(fingerprint(&PARTS), fingerprint(&other), "{name}");
    }
    assert_ne!(
        fingerprint(&PARTS),
        RequestFingerprint::of(&FingerprintKey::new("another key"), &PARTS)
    );
}

#[test]
fn fingerprint_survives_text_round_trip() {
    let fingerprint = fingerprint(&PARTS);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for text in
        ["", "00", "g0000000000000000000000000000000", &"0".repeat(34), "ä".repeat(16).as_str()]
    {
        assert_eq!(text.parse::<RequestFingerprint>(), Err(FingerprintError), "{text}");
    }
}
