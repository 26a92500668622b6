//! When the row of the fleet's size changes.

use std::time::Duration;

use dillspool_router::FleetSize;
use tokio::time::Instant;

struct SizeCase {
    name: &'static str,
    row: Option<usize>,
    /// Seconds and counts at them.
    counted: Vec<(u64, usize)>,
    /// Second of the first change, and what the row says then.
    changed: Option<(u64, usize)>,
}

#[tokio::test(start_paused = true)]
async fn more_hosts_count_at_once_and_fewer_later() {
    let cases = [
        SizeCase { name: "no row", row: None, counted: vec![(5, 60)], changed: Some((5, 60)) },
        SizeCase {
            name: "as it says",
            row: Some(60),
            counted: vec![(5, 60), (10, 60)],
            changed: None,
        },
        SizeCase {
            name: "one more",
            row: Some(60),
            counted: vec![(5, 61)],
            changed: Some((5, 61)),
        },
        SizeCase {
            name: "a few fewer",
            row: Some(60),
            counted: vec![(5, 55), (200, 55)],
            changed: None,
        },
        SizeCase {
            name: "half of them are away for a minute",
            row: Some(60),
            counted: vec![(5, 30), (60, 30), (65, 60), (70, 30), (180, 30)],
            changed: None,
        },
        SizeCase {
            name: "half of them are gone",
            row: Some(60),
            counted: vec![(5, 30), (60, 31), (125, 30)],
            changed: Some((125, 30)),
        },
    ];
    for case in cases {
        let (mut size, start) = (FleetSize::default(), Instant::now());
        let changed = case.counted.iter().find_map(|(second, counted)| {
            let next = size.next(case.row, *counted, start + Duration::from_secs(*second))?;
            Some((*second, next))
        });
        assert_eq!(changed, case.changed, "{}", case.name);
    }
}
