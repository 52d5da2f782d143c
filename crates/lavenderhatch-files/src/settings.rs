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

/// Settings of a daemon, validated as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the backend server.
    pub node: NodeId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Region of the zone.
    pub region: Region,
    /// Service that the local back end belongs to.
    pub service: ServiceName,
    /// Address at which the daemon accepts calls from callers.
    pub caller_addr: SocketAddr,
    /// Address at which the daemon accepts connections from other daemons.
    pub peer_addr: SocketAddr,
    /// Address at which the daemon serves the operator's tool and the metrics collector.
    pub admin_addr: SocketAddr,
    /// Address at which the back end listens.
    pub backend_addr: SocketAddr,
    /// URLs of the platform, tried in order. Invariant: not empty.
    pub platform: Vec<String>,
    /// Maximum number of connections from callers. Invariant: 1 to 100,000.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Time after which an idle connection from a caller is closed, in milliseconds. Invariant: 100
    /// to 600,000.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
    /// Number of threads for the links to other daemons. Invariant: 1 to 64.
    #[serde(default = "default_peer_threads")]
    pub peer_threads: usize,
    /// Number of threads that run orders with an idempotency key for other daemons. Other calls get
    /// a thread when they get a slot. Invariant: 1 to 4,096.
    #[serde(default = "default_carry_threads")]
    pub carry_threads: usize,
    /// Peer addresses of the daemons to contact first, so that the daemon can start while the
    /// platform is down.
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

/// Parses and validates settings. On failure, returns all errors.
pub fn parse_settings(source: &Source) -> Result<Settings, Vec<Diagnostic>> {
    let doc = Document::new(source);
    let object = doc.parse().map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Vec::new();
    let Some(map) = read_object(&doc, &object, FIELDS, &mut diagnostics) else {
        diagnostics.sort();
        return Err(diagnostics);
    };
    let settings: Settings = serde_json::from_value(Json::Object(map))
        .map_err(|err| vec![doc.error_at(object.range, err.to_string(), "use a smaller number")])?;
    for (key, range_text, is_ok) in settings.ranges() {
        if !is_ok {
            let prop = object
                .properties
                .iter()
                .find(|prop| prop.name.as_str() == key);
            let range = prop.map_or(object.range, |prop| prop.range);
            let message = format!("{key:?} is out of range");
            diagnostics.push(doc.error_at(range, message, format!("use {range_text}")));
        }
    }
    match diagnostics.is_empty() {
        true => Ok(settings),
        false => Err(diagnostics),
    }
}

impl Settings {
    /// Returns the keys with a range, the range as text, and whether the value is within it.
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
