//! Labels of a metric, from names and values.

use std::fmt::{self, Write};

use prometheus_client::encoding::LabelSetEncoder;

/// Writes labels in their order.
///
/// # Errors
///
/// The encoder's own error.
pub fn write_labels(
    encoder: &mut LabelSetEncoder<'_>,
    labels: &[(&str, &str)],
) -> Result<(), fmt::Error> {
    for (name, value) in labels {
        let mut label = encoder.encode_label();
        let mut name_encoder = label.encode_label_key()?;
        name_encoder.write_str(name)?;
        let mut value_encoder = name_encoder.encode_label_value()?;
        value_encoder.write_str(value)?;
        value_encoder.finish()?;
    }
    Ok(())
}
