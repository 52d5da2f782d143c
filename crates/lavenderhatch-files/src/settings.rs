//! Settings of a daemon.

use std::net::SocketAddr;

use lavenderhatch_core::{NodeId, Region, ServiceName, Zone};
use serde::Deserialize;
use serde_json::Value as Json;

use crate::diagnostic::Diagnostic;
use crate::document::Document;
use crate::field::{Field, FieldType, read_object};
use crate::source::Source;

const FIELDS: &[Field] = &[
    Field::required("node", FieldType::Name),
    Field::required("zone", FieldType::Name),
    Field::required("region", FieldType::Name),
    Field::required("service", FieldType::Name),
    Field::required("caller_addr", FieldType::Address),
    Field::required("peer_addr", FieldType::Address),
    Field::required("admin_addr", FieldType::Address),
    Field::required("backend_addr", FieldType::Address),
    Field::required("platform", FieldType::UrlList),
    Field::optional("max_connections", FieldType::Integer),
    Field::optional("idle_timeout_ms", FieldType::Integer),
    Field::optional("peer_threads", FieldType::Integer),
    Field::optional("carry_threads", FieldType::Integer),
    Field::optional("first_peers", FieldType::AddressList),
];

/// Settings of a daemon, checked as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the backend server.
    pub node: NodeId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the zone.
    pub region: Region,
    /// Service of the back end beside the daemon.
    pub service: ServiceName,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where other daemons connect.
    pub peer_addr: SocketAddr,
    /// Where the operator's tool and the collector of metrics connect.
    pub admin_addr: SocketAddr,
    /// Where the back end listens.
    pub backend_addr: SocketAddr,
    /// URLs of the platform, tried in order. Invariant: at least one.
    pub platform: Vec<String>,
    /// Most connections from callers. Invariant: 1 to 100,000.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Time after which a silent connection from a caller is closed, in milliseconds. Invariant:
    /// 100 to 600,000.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Threads for the links to other daemons. Invariant: 1 to 64.
    #[serde(default = "default_peer_threads")]
    pub peer_threads: usize,
    /// Threads that run orders with a key for other daemons; other calls get threads as they get
    /// slots. Invariant: 1 to 4,096.
    #[serde(default = "default_carry_threads")]
    pub carry_threads: usize,
    /// Peer addresses of daemons that are asked first, for a start while the platform is down.
    #[serde(default)]
    pub first_peers: Vec<SocketAddr>,
}

fn default_max_connections() -> usize {
    1024
}

fn default_idle_timeout_ms() -> u64 {
    30_000
}

fn default_peer_threads() -> usize {
    2
}

fn default_carry_threads() -> usize {
    32
}

/// Parses and checks settings. On failure all faults are listed.
pub fn parse_settings(source: &Source) -> Result<Settings, Vec<Diagnostic>> {
    let doc = Document::new(source);
    let object = doc.parse().map_err(|fault| vec![fault])?;
    let mut faults = Vec::new();
    let Some(map) = read_object(&doc, &object, FIELDS, &mut faults) else {
        faults.sort();
        return Err(faults);
    };
    let settings: Settings = serde_json::from_value(Json::Object(map))
        .map_err(|err| vec![doc.fault(object.range, err.to_string(), "use a smaller number")])?;
    for (key, range_text, is_ok) in settings.ranges() {
        if !is_ok {
            let place = object
                .properties
                .iter()
                .find(|prop| prop.name.as_str() == key);
            let range = place.map_or(object.range, |prop| prop.range);
            let message = format!("{key:?} is out of range");
            faults.push(doc.fault(range, message, format!("use {range_text}")));
        }
    }
    match faults.is_empty() {
        true => Ok(settings),
        false => Err(faults),
    }
}

impl Settings {
    /// Keys with bounds, their bounds as text, and whether the value is within them.
    fn ranges(&self) -> [(&'static str, &'static str, bool); 4] {
        let connections = (1..=100_000).contains(&self.max_connections);
        let idle = (100..=600_000).contains(&self.idle_timeout_ms);
        let threads = (1..=64).contains(&self.peer_threads);
        let carry = (1..=4096).contains(&self.carry_threads);
        [
            ("max_connections", "1 to 100000", connections),
            ("idle_timeout_ms", "100 to 600000", idle),
            ("peer_threads", "1 to 64", threads),
            ("carry_threads", "1 to 4096", carry),
        ]
    }
}
