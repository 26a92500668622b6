//! Keys are compared by their hashes and never printed.

use dillspool_keys::{CallerKey, KeyDigest, PresentedKey, hash_key};

struct BearerCase {
    value: &'static str,
    key: Option<&'static str>,
}

#[test]
fn bearer_values_are_parsed() {
    let cases = [
        BearerCase { value: "Bearer k", key: Some("k") },
        BearerCase { value: "Bearer  k ", key: Some("k") },
        BearerCase { value: "Bearer ", key: None },
        BearerCase { value: "bearer k", key: None },
        BearerCase { value: "k", key: None },
    ];
    for case in cases {
        let expected = case.key.and_then(CallerKey::new);
        assert_eq!(CallerKey::from_bearer(case.value), expected, "{:?}", case.value);
    }
}

struct MatchCase {
    name: &'static str,
    stored: String,
    matches: bool,
}

#[test]
fn a_key_matches_only_its_own_hash() {
    let key = CallerKey::new("secret").expect("a key");
    let case = |name, stored: &str, matches| MatchCase { name, stored: stored.to_owned(), matches };
    let cases = [
        case("own hash", &hash_key("secret"), true),
        case("hash of another key", &hash_key("secret2"), false),
        case("the plain key", "secret", false),
        case("truncated hash", &hash_key("secret")[..32], false),
        case("empty", "", false),
    ];
    for case in cases {
        assert_eq!(key.matches(&case.stored), case.matches, "{}", case.name);
    }
    assert_eq!(KeyDigest::from_hex(&hash_key("secret")), Some(*key.digest()));
}

#[test]
fn debug_output_contains_no_key() {
    let key = CallerKey::new("secret").expect("a key");
    let presented = PresentedKey::One(key);
    let hash = hash_key("secret");
    for output in [format!("{key:?}"), format!("{presented:?}"), format!("{:?}", key.digest())] {
        assert!(!output.contains("secret") && !output.contains(&hash[..8]), "{output}");
    }
}
