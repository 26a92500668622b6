//! Reads the fields of an event that tell its position in the stream.

use memchr::{memchr, memchr2};

/// What the `id` fields of an event say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventId {
    /// There is none.
    Missing,
    /// One, a decimal number.
    Number(u64),
    /// One that is no decimal number of 64 bits.
    Unreadable,
    /// Several, as when the empty line between two events is lost.
    Repeated,
}

/// The fields of an event, as far as its position depends on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventFields {
    /// Its id.
    pub id: EventId,
    /// Whether it has a `data` field; a client does not dispatch an event without one.
    pub has_content: bool,
    /// Whether carriage returns alone make an empty line within it, at which clients split it.
    pub has_inner_end: bool,
}

impl EventFields {
    /// Reads the fields of a complete event.
    ///
    /// Source: the event stream format of the HTML standard, section "Interpreting an event stream".
    pub fn read(event: &[u8]) -> Self {
        let mut fields = Self { id: EventId::Missing, has_content: false, has_inner_end: false };
        let (mut has_begun, mut has_ended) = (false, false);
        let mut rest = event;
        while !rest.is_empty() {
            let end = memchr2(b'\n', b'\r', rest).unwrap_or(rest.len());
            let (line, ending) = rest.split_at(end);
            rest = ending.strip_prefix(b"\r\n").or(ending.get(1..)).unwrap_or_default();
            fields.has_inner_end |= has_ended && !line.is_empty();
            has_ended |= has_begun && line.is_empty();
            has_begun |= !line.is_empty();
            fields.read_line(line);
        }
        fields
    }

    fn read_line(&mut self, line: &[u8]) {
        let (name, value) = match memchr(b':', line) {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line, &line[line.len()..]),
        };
        match name {
            b"id" => self.id = self.id.with_value(value),
            b"data" => self.has_content = true,
            _ => {}
        }
    }

    /// Whether it is more than a comment, a retry time or fields of the engine's own.
    pub fn is_event(&self) -> bool {
        self.has_content || self.id != EventId::Missing
    }
}

impl EventId {
    /// The id after another `id` field with this value.
    fn with_value(self, value: &[u8]) -> Self {
        match self {
            Self::Missing => parse_number(value).map_or(Self::Unreadable, Self::Number),
            Self::Number(_) | Self::Unreadable | Self::Repeated => Self::Repeated,
        }
    }
}

/// The decimal number of a field, without the white space that a `Last-Event-Id` header loses.
fn parse_number(value: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(value).ok()?.trim_matches([' ', '\t']);
    // `parse` takes a sign.
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}
