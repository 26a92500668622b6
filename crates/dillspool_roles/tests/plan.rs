//! How many engines change their stage, and which.

use std::sync::Arc;

use dillspool_roles::{initial_prefill_engines, plan_stage_changes, prefill_engines_for_share};
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, EngineStage, SoftwareVersion};

fn engine(
    id: String,
    domain: &str,
    engine_stage: EngineStage,
    state: BackendState,
) -> Arc<BackendEntry> {
    Arc::new(BackendEntry {
        id: id.into(),
        start: None,
        software: SoftwareVersion::default(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: domain.into(),
        state,
        stage: Some(engine_stage),
        slots: None,
    })
}

fn view(entries: impl IntoIterator<Item = Arc<BackendEntry>>) -> DirectoryView {
    let entries = entries.into_iter().map(|it| (Arc::clone(&it.id), it)).collect();
    DirectoryView { version: 1.into(), entries, ..DirectoryView::default() }
}

struct PlanCase {
    name: &'static str,
    prefill: usize,
    draining: usize,
    decode: usize,
    share: f64,
    switched: usize,
}

#[test]
fn prefill_engines_beyond_the_share_decode() {
    let case = |name, prefill, draining, decode, share, switched| PlanCase {
        name,
        prefill,
        draining,
        decode,
        share,
        switched,
    };
    let cases = [
        case("four of nine, a fifth stays", 4, 0, 5, 0.2, 2),
        case("as planned", 2, 0, 7, 0.2, 0),
        case("fewer than planned: one switches back", 1, 0, 8, 0.2, 1),
        case("none is left: two switch back, an eighth at once", 0, 0, 9, 0.2, 2),
        case("an eighth of a large pool switches at once", 0, 0, 80, 0.5, 10),
        case("a small pool keeps decoding", 0, 0, 3, 0.2, 0),
        case("one always stays", 3, 0, 0, 0.0, 2),
        case("the whole pool may prefill", 3, 0, 0, 1.0, 0),
        case("draining engines do not count", 3, 1, 6, 0.2, 1),
        case("an empty pool", 0, 0, 0, 0.2, 0),
        case("twelve of 36", 12, 0, 24, 0.2, 4),
    ];
    for case in cases {
        let ready = BackendState::Ready;
        let part =
            |at: usize, part, state| engine(format!("{part:?}{at:02}"), "domain", part, state);
        let prefill = (0..case.prefill).map(|at| part(at, EngineStage::Prefill, ready));
        let leaving = (0..case.draining)
            .map(|at| part(at + 50, EngineStage::Prefill, BackendState::Draining));
        let decode = (0..case.decode).map(|at| part(at, EngineStage::Decode, ready));
        let view = view(prefill.chain(leaving).chain(decode));
        let prefill_target = prefill_engines_for_share(case.prefill + case.decode, case.share);
        let changes = plan_stage_changes(&view, "pool", prefill_target);
        assert_eq!(changes.len(), case.switched, "{}", case.name);
        let short = case.prefill < prefill_target;
        let stage = if short { EngineStage::Prefill } else { EngineStage::Decode };
        assert!(changes.iter().all(|change| change.stage == stage), "{}", case.name);
    }
}

#[test]
fn the_initial_number_has_a_margin() {
    let cases = [(1, 1), (3, 1), (6, 2), (9, 3), (13, 3), (36, 8), (90, 19), (2_700, 541)];
    for (engines, prefill) in cases {
        assert_eq!(initial_prefill_engines(engines, 0.2), prefill, "of {engines}");
    }
}

struct VersionCase {
    name: &'static str,
    /// Software versions of the prefill and of the decode engines.
    prefill: &'static [&'static str],
    decode: &'static [&'static str],
    target: usize,
    /// Versions of the engines that change their stage, in order.
    changed: &'static [&'static str],
}

/// Guards against stage changes that leave a software version without an engine of a stage, so that its streams cannot go
/// on, or that no decode engine can use what its prefill engines compute.
#[test]
fn each_version_keeps_engines_of_both_stages() {
    let cases = [
        VersionCase {
            name: "one version: by ID",
            prefill: &["v1", "v1", "v1"],
            decode: &["v1", "v1"],
            target: 1,
            changed: &["v1", "v1"],
        },
        VersionCase {
            name: "a version whose prefill engine is its last keeps it",
            prefill: &["v1", "v2", "v2"],
            decode: &["v1", "v2", "v2"],
            target: 2,
            changed: &["v2"],
        },
        VersionCase {
            name: "a version without a decode engine gets one first",
            prefill: &["v1", "v1", "v2", "v2"],
            decode: &["v1", "v1", "v1"],
            target: 3,
            changed: &["v2"],
        },
        VersionCase {
            name: "a version without a prefill engine gets one first",
            prefill: &["v1"],
            decode: &["v1", "v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2"],
            target: 3,
            changed: &["v2", "v1"],
        },
        VersionCase {
            name: "the last decode engine of a version stays",
            prefill: &["v1"],
            decode: &["v1", "v2", "v2", "v2", "v2"],
            target: 2,
            changed: &["v2"],
        },
    ];
    for case in cases {
        let engines = |stage, versions: &[&str]| {
            let entry = |(at, software): (usize, &&str)| {
                let entry =
                    engine(format!("{stage:?}{at:02}"), "domain", stage, BackendState::Ready);
                let software = SoftwareVersion((*software).into());
                Arc::new(BackendEntry { software, ..(*entry).clone() })
            };
            versions.iter().enumerate().map(entry).collect::<Vec<_>>()
        };
        let prefill = engines(EngineStage::Prefill, case.prefill);
        let decode = engines(EngineStage::Decode, case.decode);
        let view = view(prefill.into_iter().chain(decode));
        let changes = plan_stage_changes(&view, "pool", case.target);
        let versions: Vec<_> = changes.iter().map(|it| it.entry.software.to_string()).collect();
        assert_eq!(versions, case.changed, "{}", case.name);
    }
}
