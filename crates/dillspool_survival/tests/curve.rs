//! Mean lives while part of the lives go on.

use dillspool_survival::{LifetimeSample, SurvivalCurve};

struct MeanCase {
    name: &'static str,
    ended: &'static [f64],
    going_on: &'static [f64],
    mean: f64,
}

#[test]
fn the_mean_counts_lives_that_go_on() {
    let cases = [
        MeanCase { name: "none", ended: &[], going_on: &[], mean: 0.0 },
        MeanCase { name: "all ended", ended: &[1.0, 2.0, 3.0], going_on: &[], mean: 2.0 },
        MeanCase { name: "none ended", ended: &[], going_on: &[1.0, 4.0], mean: 4.0 },
        MeanCase {
            name: "half outlive the others",
            ended: &[3.0, 3.0],
            going_on: &[10.0, 10.0],
            mean: 6.5,
        },
        MeanCase {
            name: "young ones say little",
            ended: &[4.0, 4.0, 4.0, 4.0],
            going_on: &[0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 3.5],
            mean: 4.0,
        },
    ];
    for MeanCase { name, ended, going_on, mean } in cases {
        let sample =
            |has_ended| move |length: &f64| LifetimeSample { lifetime: *length, has_ended };
        let ended = ended.iter().map(sample(true));
        let samples = ended.chain(going_on.iter().map(sample(false))).collect();
        let estimate = SurvivalCurve::estimate(samples).mean();
        assert!((estimate - mean).abs() < 1e-9, "{name}: {estimate}");
    }
}
