//! Decides at which software version a stream goes on.

use dillspool_routing::SoftwareVersion;

use crate::history::ServiceVersions;
use crate::registry::OriginRecord;

/// What another host knows of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// Its record of the stream, if it has one.
    pub record: Option<OriginRecord>,
    /// The versions of the service that it knows.
    pub versions: ServiceVersions,
}

/// The version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginDecision {
    /// This version.
    Began(SoftwareVersion),
    /// One of several versions, or any version at all.
    Unknown,
}

/// Decides which version began a stream of `service`, by what this host and perhaps another one
/// know.
///
/// A record decides, unless another one contradicts it. Without a record, only a service with a
/// single version leaves no doubt.
pub fn decide_origin(
    service: &str,
    own: &OriginAnswer,
    told: Option<&OriginAnswer>,
) -> OriginDecision {
    let answers = [Some(own), told].into_iter().flatten();
    let mut records = answers.filter_map(|answer| answer.record.as_ref());
    let Some(first) = records.next() else {
        let versions = told.map_or_else(
            || own.versions.clone(),
            |told| own.versions.clone().union(&told.versions),
        );
        return versions.single().cloned().map_or(OriginDecision::Unknown, OriginDecision::Began);
    };
    let agree = records.all(|record| record.software == first.software);
    match &first.software {
        Some(software) if agree && &*first.service == service => {
            OriginDecision::Began(software.clone())
        }
        Some(_) | None => OriginDecision::Unknown,
    }
}
