//! Estimates lifetimes while some of them are still in progress.
//!
//! The lifetimes that have ended first are short ones, and dividing the total time observed by the
//! number of ends is valid for memoryless lifetimes only. The Kaplan-Meier estimator needs neither
//! assumption.

mod curve;

pub use curve::{LifetimeSample, SurvivalCurve};
