//! Encodes the labels of a metric from names and values.

use std::borrow::Cow;
use std::fmt::{self, Write};

use prometheus_client::encoding::LabelSetEncoder;

/// Writes labels in the given order and escapes their values for the text format.
///
/// The encoder doesn't escape values, and some come from operators, such as the names of routes.
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
        value_encoder.write_str(&escape_value(value))?;
        value_encoder.finish()?;
    }
    Ok(())
}

/// Escapes a label value as the text format requires (`OpenMetrics` 1.0, ABNF of `escaped-string`).
fn escape_value(value: &str) -> Cow<'_, str> {
    if !value.contains(['\\', '"', '\n']) {
        return Cow::Borrowed(value);
    }
    Cow::Owned(value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n"))
}
