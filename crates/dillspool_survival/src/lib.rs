//! How long things last, estimated while some of them still last.
//!
//! Lives that have ended are short ones at first, and the total time seen over the number of ends holds for
//! lives without memory only. The estimate of Kaplan and Meier needs neither assumption.

mod curve;

pub use curve::{LifetimeSample, SurvivalCurve};
