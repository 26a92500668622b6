//! A client of event streams, as plain as the format allows.

/// An event that a client dispatched, with the id that it would resume after.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldEvent {
    /// Its id, or that of an event before.
    pub id: String,
    /// Its data, without the last line end.
    pub data: String,
}

/// The events that a client dispatches, as the HTML standard's event stream format says.
pub fn dispatch_events(bytes: &[u8]) -> Vec<HeldEvent> {
    let text = String::from_utf8_lossy(bytes);
    let text = text.strip_prefix('\u{feff}').unwrap_or(&text).replace("\r\n", "\n");
    let (mut events, mut id, mut data) = (Vec::new(), String::new(), Vec::new());
    for line in text.split(['\n', '\r']) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "" if line.is_empty() && !data.is_empty() => {
                events.push(HeldEvent { id: id.clone(), data: data.join("\n") });
                data.clear();
            }
            "id" => value.clone_into(&mut id),
            "data" => data.push(value.to_owned()),
            _ => {}
        }
    }
    events
}
