//! Resolution of IP addresses without a thread.

use std::net::{IpAddr, SocketAddr};

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Port of a URI that names none.
const DEFAULT_PORT: u16 = 80;

/// Takes the address from the URI.
///
/// ureq's own resolver starts a thread for each request that has a time limit, also where the host
/// is an IP address, and all hosts here are.
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

/// An agent for URIs whose hosts are IP addresses.
pub fn ip_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}
