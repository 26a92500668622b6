//! Checks how many rows of a table each host holds, and that every row is held by some host.

use dillspool_part::{RowCounts, TableSubset, host_seed};

struct SubsetCase {
    name: &'static str,
    /// Rows by class.
    counts: Vec<(&'static str, usize)>,
    hosts: usize,
    /// Maximum number of rows of all classes that a host may hold.
    max_held: usize,
}

fn counts(classes: &[(&'static str, usize)], hosts: Option<usize>) -> RowCounts {
    RowCounts {
        rows: classes.iter().map(|(class, count)| ((*class).into(), *count)).collect(),
        hosts,
    }
}

fn key(class: &str, number: usize) -> String {
    format!("i-{class}-{number:06x}")
}

/// The number of rows that a host holds must not grow with the table.
#[test]
fn rows_per_host_do_not_grow_with_the_table() {
    let cases = [
        SubsetCase {
            name: "small",
            counts: vec![("llm", 38), ("app", 6)],
            hosts: 80,
            max_held: 44,
        },
        SubsetCase {
            name: "hundreds",
            counts: vec![("llm", 2_600), ("app", 400)],
            hosts: 300,
            max_held: 450,
        },
        SubsetCase {
            name: "many backend servers per host: each has a host that sends to it",
            counts: vec![("llm", 20_000)],
            hosts: 200,
            max_held: 4_000,
        },
        SubsetCase {
            name: "thousands",
            counts: vec![("llm", 8_650), ("app", 1_350)],
            hosts: 1_000,
            max_held: 450,
        },
        SubsetCase {
            name: "twice that",
            counts: vec![("llm", 17_300), ("app", 2_700)],
            hosts: 2_000,
            max_held: 450,
        },
    ];
    for case in cases {
        let counts = counts(&case.counts, Some(case.hosts));
        let mut hosts_by_row = vec![0_usize; case.counts.iter().map(|(_class, count)| count).sum()];
        for host in 0..case.hosts {
            let subset = TableSubset::for_counts(host_seed(&format!("10.0.0.1:{host}")), &counts);
            let mut held = 0;
            let rows =
                case.counts.iter().flat_map(|(class, count)| (0..*count).map(|at| (*class, at)));
            for ((class, at), hosts) in rows.zip(&mut hosts_by_row) {
                let subset =
                    subset.as_ref().map(|subset| subset.for_class(class)).unwrap_or_default();
                if subset.contains(&key(class, at)) {
                    held += 1;
                    *hosts += 1;
                }
            }
            assert!(held <= case.max_held, "{}: host {host} holds {held}", case.name);
            for (class, count) in &case.counts {
                let subset =
                    subset.as_ref().map(|subset| subset.for_class(class)).unwrap_or_default();
                let class_rows = (0..*count).filter(|at| subset.contains(&key(class, *at))).count();
                let min_rows = 30.min(*count);
                assert!(
                    class_rows >= min_rows,
                    "{}: host {host} holds {class_rows} of {class}",
                    case.name
                );
            }
        }
        let unheld = hosts_by_row.iter().filter(|hosts| **hosts == 0).count();
        assert_eq!(unheld, 0, "{}: backend servers that get no request", case.name);
    }
}

#[test]
fn a_subset_is_resized_only_after_large_changes() {
    struct ResizeCase {
        name: &'static str,
        before: usize,
        after: usize,
        needs_resize: bool,
    }
    let cases = [
        ResizeCase { name: "unchanged", before: 8_650, after: 8_650, needs_resize: false },
        ResizeCase { name: "during a release", before: 8_192, after: 8_100, needs_resize: false },
        ResizeCase { name: "twice as many", before: 8_650, after: 17_300, needs_resize: false },
        ResizeCase { name: "five times as many", before: 2_000, after: 10_000, needs_resize: true },
        ResizeCase { name: "most are gone", before: 8_650, after: 500, needs_resize: true },
        ResizeCase { name: "few, then many", before: 6, after: 300, needs_resize: true },
        ResizeCase { name: "few, then some", before: 6, after: 128, needs_resize: false },
    ];
    for case in cases {
        let subset = TableSubset::for_counts(1, &counts(&[("llm", case.before)], None));
        let needs_resize =
            TableSubset::needs_resize(subset.as_ref(), &counts(&[("llm", case.after)], None));
        assert_eq!(needs_resize, case.needs_resize, "{}", case.name);
    }
}
