//! Resolution of hosts that are IP addresses, without a resolver thread.

use std::net::{IpAddr, SocketAddr};

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Port of a URI without a port.
const DEFAULT_PORT: u16 = 80;

/// Parses the host of the URI as an IP address.
///
/// ureq's default resolver starts a thread for each request that has a timeout, even if the host is
/// an IP address, as all hosts are here.
#[derive(Debug)]
struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let host = uri.host().unwrap_or("").trim_matches(['[', ']']);
        let ip: IpAddr = host.parse().map_err(|_| Error::HostNotFound)?;
        let mut addrs = self.empty();
        addrs.push(SocketAddr::new(ip, uri.port_u16().unwrap_or(DEFAULT_PORT)));
        Ok(addrs)
    }
}

/// Creates an HTTP agent for URIs whose hosts are IP addresses. Other hosts are not found.
pub fn ip_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}
