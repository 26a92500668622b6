//! Versions of one store and of the copies from which it came back.

use dillspool_version::{StoreEra, StoreVersion};

struct OrderCase {
    name: &'static str,
    older: (u64, u64),
    newer: (u64, u64),
    /// How the newer one is written.
    text: &'static str,
}

#[test]
fn versions_are_ordered_by_era_first() {
    let cases = [
        OrderCase { name: "no era", older: (0, 46), newer: (0, 47), text: "47" },
        OrderCase { name: "one era", older: (3, 46), newer: (3, 47), text: "3:47" },
        OrderCase { name: "a copy", older: (3, 47), newer: (4, 28), text: "4:28" },
        OrderCase { name: "an empty copy", older: (3, 47), newer: (4, 0), text: "4:0" },
        OrderCase { name: "eras are told now", older: (0, 47), newer: (1, 28), text: "1:28" },
        OrderCase { name: "none", older: (0, 0), newer: (0, 1), text: "1" },
        OrderCase {
            name: "more versions than an era has",
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
fn a_fence_is_an_exact_json_number() {
    let last_exact = StoreVersion::new(StoreEra::new(8_191), u64::MAX);
    assert!(u64::from(last_exact) < 1 << 53);
    let text = serde_json::to_string(&last_exact).expect("a number");
    assert_eq!(text, u64::from(last_exact).to_string());
}

#[test]
fn only_the_default_is_no_version() {
    assert!(!StoreVersion::default().is_known());
    assert!(StoreVersion::new(StoreEra::new(1), 0).is_known());
}
