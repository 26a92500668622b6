//! Ordering of store versions within an era and across restores.

use dillspool_version::{StoreEra, StoreVersion};

struct OrderCase {
    name: &'static str,
    older: (u64, u64),
    newer: (u64, u64),
    /// The newer version, formatted.
    text: &'static str,
}

#[test]
fn versions_are_ordered_by_era_then_number() {
    let cases = [
        OrderCase { name: "no era", older: (0, 46), newer: (0, 47), text: "47" },
        OrderCase { name: "one era", older: (3, 46), newer: (3, 47), text: "3:47" },
        OrderCase { name: "restored snapshot", older: (3, 47), newer: (4, 28), text: "4:28" },
        OrderCase { name: "restored empty snapshot", older: (3, 47), newer: (4, 0), text: "4:0" },
        OrderCase { name: "first reported era", older: (0, 47), newer: (1, 28), text: "1:28" },
        OrderCase { name: "default version", older: (0, 0), newer: (0, 1), text: "1" },
        OrderCase {
            name: "number above the highest of an era",
            older: (3, u64::MAX),
            newer: (4, 0),
            text: "4:0",
        },
    ];
    let version = |(era, number)| StoreVersion::new(StoreEra::new(era), number);
    for OrderCase { name, older, newer, text } in cases {
        assert!(version(older) < version(newer), "{name}");
        assert_eq!(version(newer).to_string(), text, "{name}");
        assert_eq!(version(newer).era(), StoreEra::new(newer.0), "{name}");
        assert_eq!(version(newer).number(), newer.1, "{name}");
        assert_eq!(StoreVersion::from(u64::from(version(newer))), version(newer), "{name}");
    }
}

#[test]
fn fencing_tokens_are_exact_json_numbers() {
    let last_exact = StoreVersion::new(StoreEra::new(8_191), u64::MAX);
    assert!(u64::from(last_exact) < 1 << 53);
    let text = serde_json::to_string(&last_exact).expect("a number");
    assert_eq!(text, u64::from(last_exact).to_string());
}

#[test]
fn only_the_default_version_is_unknown() {
    assert!(!StoreVersion::default().is_known());
    assert!(StoreVersion::new(StoreEra::new(1), 0).is_known());
}
