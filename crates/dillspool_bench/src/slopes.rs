//! Slopes of docs/CAPACITY.md.

pub(crate) fn run() -> Result<(), String> {
    Err("not written yet".to_owned())
}
