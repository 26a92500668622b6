//! Parser for lines of a host's log.

/// A line of `key=value` fields; values that contain spaces are in double quotes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Wall clock time in milliseconds; 0 if the line has none.
    pub time_ms: u64,
    /// The original line without surrounding whitespace.
    pub text: String,
    fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line; `None` if it has no `event` field.
    pub fn parse(text: &str) -> Option<Self> {
        let fields = parse_fields(text);
        let find = |key: &str| {
            fields.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
        };
        find("event")?;
        let time_ms = find("time_ms").and_then(|time| time.parse().ok()).unwrap_or(0);
        Some(Self { time_ms, text: text.trim().to_owned(), fields })
    }

    /// Returns the value of a field, or an empty string if the line does not have it.
    pub fn field(&self, key: &str) -> &str {
        let found = self.fields.iter().find(|(name, _)| name == key);
        found.map_or("", |(_, value)| value)
    }
}

fn parse_fields(text: &str) -> Vec<(String, String)> {
    let mut fields = Vec::new();
    let mut rest = text.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or(key);
        let quoted = after.strip_prefix('"').and_then(|inner| inner.split_once('"'));
        let (value, next) = match quoted {
            Some(parts) => parts,
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.push((key.to_owned(), value.to_owned()));
        rest = next.trim_start();
    }
    fields
}
