//! Encoding of labels and the response to a scrape.

use dillspool_metrics::{metrics_response, metrics_text, write_labels};
use prometheus_client::encoding::{EncodeLabelSet, LabelSetEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TestLabels {
    pairs: Vec<(&'static str, &'static str)>,
}

impl EncodeLabelSet for TestLabels {
    fn encode(&self, encoder: &mut LabelSetEncoder<'_>) -> Result<(), std::fmt::Error> {
        write_labels(encoder, &self.pairs)
    }
}

struct LabelCase {
    pairs: Vec<(&'static str, &'static str)>,
    line: &'static str,
}

#[test]
fn labels_keep_their_order_and_are_escaped() {
    let cases = [
        LabelCase { pairs: vec![], line: "dillspool_seen_total{} 1" },
        LabelCase { pairs: vec![("a", "1")], line: "dillspool_seen_total{a=\"1\"} 1" },
        LabelCase {
            pairs: vec![("b", ""), ("a", "x\"y")],
            line: "dillspool_seen_total{b=\"\",a=\"x\\\"y\"} 1",
        },
        LabelCase {
            pairs: vec![("a", "x\\y\nz")],
            line: "dillspool_seen_total{a=\"x\\\\y\\nz\"} 1",
        },
    ];
    for case in cases {
        let mut registry = Registry::with_prefix("dillspool");
        let family = Family::<TestLabels, Counter>::default();
        registry.register("seen", "Test", family.clone());
        family.get_or_create(&TestLabels { pairs: case.pairs }).inc();
        let text = metrics_text(&registry).expect("text");
        assert!(text.lines().any(|line| line == case.line), "{text}");
        assert_eq!(metrics_response(&registry).status().as_u16(), 200);
    }
}
