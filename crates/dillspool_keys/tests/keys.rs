//! Keys are compared by their hashes and never shown.

use dillspool_keys::{CallerKey, KeyDigest, PresentedKey, hash_key};

struct BearerCase {
    value: &'static str,
    key: Option<&'static str>,
}

#[test]
fn bearer_values_are_taken_apart() {
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
fn a_key_matches_its_own_hash_alone() {
    let key = CallerKey::new("secret").expect("a key");
    let case = |name, stored: &str, matches| MatchCase { name, stored: stored.to_owned(), matches };
    let cases = [
        case("its own", &hash_key("secret"), true),
        case("another key's", &hash_key("secret2"), false),
        case("the key itself", "secret", false),
        case("a part of it", &hash_key("secret")[..32], false),
        case("nothing", "", false),
    ];
    for case in cases {
        assert_eq!(key.matches(&case.stored), case.matches, "{}", case.name);
    }
    assert_eq!(KeyDigest::from_hex(&hash_key("secret")), Some(*key.digest()));
}

#[test]
fn nothing_shows_a_key() {
    let key = CallerKey::new("secret").expect("a key");
    let presented = PresentedKey::One(key);
    let hash = hash_key("secret");
    for shown in [format!("{key:?}"), format!("{presented:?}"), format!("{:?}", key.digest())] {
        assert!(!shown.contains("secret") && !shown.contains(&hash[..8]), "{shown}");
    }
}
