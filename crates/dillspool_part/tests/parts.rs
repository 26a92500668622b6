//! How much of a table each host holds, and whether all rows are held by somebody.

use dillspool_part::{RowCounts, TableSubset, host_seed};

struct PartCase {
    name: &'static str,
    /// Rows by class.
    counts: Vec<(&'static str, usize)>,
    hosts: usize,
    /// Rows of all classes that a host may hold at most.
    most_held: usize,
}

fn counts(of: &[(&'static str, usize)], hosts: Option<usize>) -> RowCounts {
    RowCounts { rows: of.iter().map(|(class, count)| ((*class).into(), *count)).collect(), hosts }
}

fn key(class: &str, number: usize) -> String {
    format!("i-{class}-{number:06x}")
}

/// The law: what a host holds does not grow with the table.
#[test]
fn a_host_holds_as_many_rows_of_a_large_table_as_of_one_ten_times_as_large() {
    let cases = [
        PartCase { name: "small", counts: vec![("llm", 38), ("app", 6)], hosts: 80, most_held: 44 },
        PartCase {
            name: "hundreds",
            counts: vec![("llm", 2_600), ("app", 400)],
            hosts: 300,
            most_held: 450,
        },
        PartCase {
            name: "many backend servers a host: each has a host that sends to it",
            counts: vec![("llm", 20_000)],
            hosts: 200,
            most_held: 4_000,
        },
        PartCase {
            name: "thousands",
            counts: vec![("llm", 8_650), ("app", 1_350)],
            hosts: 1_000,
            most_held: 450,
        },
        PartCase {
            name: "twice that",
            counts: vec![("llm", 17_300), ("app", 2_700)],
            hosts: 2_000,
            most_held: 450,
        },
    ];
    for case in cases {
        let counts = counts(&case.counts, Some(case.hosts));
        let mut held_by = vec![0_usize; case.counts.iter().map(|(_class, count)| count).sum()];
        for host in 0..case.hosts {
            let part = TableSubset::for_counts(host_seed(&format!("10.0.0.1:{host}")), &counts);
            let mut held = 0;
            let rows =
                case.counts.iter().flat_map(|(class, count)| (0..*count).map(|at| (*class, at)));
            for ((class, at), holders) in rows.zip(&mut held_by) {
                let part = part.as_ref().map(|part| part.for_class(class)).unwrap_or_default();
                if part.contains(&key(class, at)) {
                    held += 1;
                    *holders += 1;
                }
            }
            assert!(held <= case.most_held, "{}: host {host} holds {held}", case.name);
            for (class, count) in &case.counts {
                let part = part.as_ref().map(|part| part.for_class(class)).unwrap_or_default();
                let of_class = (0..*count).filter(|at| part.contains(&key(class, *at))).count();
                let least = 30.min(*count);
                assert!(
                    of_class >= least,
                    "{}: host {host} holds {of_class} of {class}",
                    case.name
                );
            }
        }
        let unheld = held_by.iter().filter(|holders| **holders == 0).count();
        assert_eq!(unheld, 0, "{}: backend servers that get no request", case.name);
    }
}

#[test]
fn a_part_is_made_anew_only_when_the_table_has_changed_by_much() {
    struct GrowthCase {
        name: &'static str,
        before: usize,
        after: usize,
        outgrown: bool,
    }
    let cases = [
        GrowthCase { name: "as it was", before: 8_650, after: 8_650, outgrown: false },
        GrowthCase { name: "a release", before: 8_192, after: 8_100, outgrown: false },
        GrowthCase { name: "twice as many", before: 8_650, after: 17_300, outgrown: false },
        GrowthCase { name: "five times as many", before: 2_000, after: 10_000, outgrown: true },
        GrowthCase { name: "most are gone", before: 8_650, after: 500, outgrown: true },
        GrowthCase { name: "few, then many", before: 6, after: 300, outgrown: true },
        GrowthCase { name: "few, then some", before: 6, after: 128, outgrown: false },
    ];
    for case in cases {
        let part = TableSubset::for_counts(1, &counts(&[("llm", case.before)], None));
        let grown = TableSubset::needs_resize(part.as_ref(), &counts(&[("llm", case.after)], None));
        assert_eq!(grown, case.outgrown, "{}", case.name);
    }
}
