//! How many engines change their part, and which.

use dillspool_roles::StagePlan;
use dillspool_routing::{BackendEntry, BackendState, DirectoryView, EngineStage};
use std::sync::Arc;

fn engine(id: String, part: EngineStage, state: BackendState) -> Arc<BackendEntry> {
    Arc::new(BackendEntry {
        id: id.into(),
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "domain".into(),
        state,
        stage: Some(part),
    })
}

struct PlanCase {
    name: &'static str,
    prefill: usize,
    draining: usize,
    decode: usize,
    share: f64,
    turned: usize,
}

#[test]
fn prefill_engines_beyond_the_share_decode() {
    let case = |name, prefill, draining, decode, share, turned| PlanCase {
        name,
        prefill,
        draining,
        decode,
        share,
        turned,
    };
    let cases = [
        case("four of nine, a fifth stays", 4, 0, 5, 0.2, 2),
        case("as planned", 2, 0, 7, 0.2, 0),
        case("fewer than planned: one turns back", 1, 0, 8, 0.2, 1),
        case("none is left: two turn back", 0, 0, 9, 0.2, 2),
        case("a small pool keeps decoding", 0, 0, 3, 0.2, 0),
        case("one always stays", 3, 0, 0, 0.0, 2),
        case("the whole pool may prefill", 3, 0, 0, 1.0, 0),
        case("those that leave do not count", 3, 1, 6, 0.2, 1),
        case("an empty pool", 0, 0, 0, 0.2, 0),
        case("twelve of 36", 12, 0, 24, 0.2, 4),
    ];
    for case in cases {
        let ready = BackendState::Ready;
        let prefill =
            (0..case.prefill).map(|at| engine(format!("p{at:02}"), EngineStage::Prefill, ready));
        let leaving = (0..case.draining)
            .map(|at| engine(format!("x{at}"), EngineStage::Prefill, BackendState::Draining));
        let decode =
            (0..case.decode).map(|at| engine(format!("d{at:02}"), EngineStage::Decode, ready));
        let entries = prefill.chain(leaving).chain(decode);
        let view = DirectoryView {
            version: 1,
            entries: entries.map(|it| (Arc::clone(&it.id), it)).collect(),
        };
        let changes = StagePlan { prefill_share: case.share }.changes(&view, "pool");
        assert_eq!(changes.len(), case.turned, "{}", case.name);
        let short = case.prefill
            < StagePlan { prefill_share: case.share }.prefill_engines(case.prefill + case.decode);
        let stage = if short { EngineStage::Prefill } else { EngineStage::Decode };
        assert!(changes.iter().all(|change| change.stage == stage), "{}", case.name);
    }
}
