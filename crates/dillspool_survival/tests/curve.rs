//! Mean lifetimes from samples some of which are censored.

use dillspool_survival::{LifetimeSample, SurvivalCurve};

struct MeanCase {
    name: &'static str,
    ended: &'static [f64],
    censored: &'static [f64],
    mean: f64,
}

#[test]
fn the_mean_includes_censored_lifetimes() {
    let cases = [
        MeanCase { name: "none", ended: &[], censored: &[], mean: 0.0 },
        MeanCase { name: "all ended", ended: &[1.0, 2.0, 3.0], censored: &[], mean: 2.0 },
        MeanCase { name: "none ended", ended: &[], censored: &[1.0, 4.0], mean: 4.0 },
        MeanCase {
            name: "half outlive the others",
            ended: &[3.0, 3.0],
            censored: &[10.0, 10.0],
            mean: 6.5,
        },
        MeanCase {
            name: "young samples have little weight",
            ended: &[4.0, 4.0, 4.0, 4.0],
            censored: &[0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5],
            mean: 4.0,
        },
    ];
    for MeanCase { name, ended, censored, mean } in cases {
        let sample =
            |has_ended| move |lifetime: &f64| LifetimeSample { lifetime: *lifetime, has_ended };
        let ended = ended.iter().map(sample(true));
        let samples = ended.chain(censored.iter().map(sample(false))).collect();
        let estimate = SurvivalCurve::estimate(samples).mean();
        assert!((estimate - mean).abs() < 1e-9, "{name}: {estimate}");
    }
}
