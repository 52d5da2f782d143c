//! Starts the controllers and ports of a daemon and connects them.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, bounded};
use eyre::Result;
use lavenderhatch_core::blackboard::Blackboard;
use lavenderhatch_core::{Incarnation, MemberRecord, MemberState, Timestamp};
use lavenderhatch_files::Settings;
use lavenderhatch_platform::Platform;
use tracing::info;

use crate::admin::AdminPort;
use crate::controller::{
    AuditController, AuditPublisher, ControllerHandle, DistributionController, EndpointController,
    LeaveSender, LoadController, MembershipController, OrderController, PlatformReader,
    StopController, ZoneObjects,
};
use crate::metrics::{ObservedPlatform, Telemetry};
use crate::peer::{ControlTraffic, Inboxes, PeerLinks, PeerPort};
use crate::request::admission_gate::AdmissionGate;
use crate::request::{
    CallObserver, CallerPort, ForwardedCallWorkers, HttpBackend, OrderClient, RequestPath,
};

/// Maximum number of requests of peers that wait for one controller. Further ones are refused.
const CONTROL_QUEUE_CAPACITY: usize = 1024;
/// Maximum number of forwarded calls that wait for a thread. Further ones are refused.
const FORWARDED_CALL_QUEUE_CAPACITY: usize = 4096;
/// Slots of a backend server whose service is not in the configuration yet.
const DEFAULT_SLOTS: u16 = 12;

/// A running daemon.
///
/// Dropping it ends its controllers and closes the caller port. The peer port and the admin port
/// stay open until the process ends.
pub struct Daemon {
    board: Blackboard,
    leave: LeaveSender,
    _controllers: Vec<ControllerHandle>,
    _callers: CallerPort,
    _admin: AdminPort,
}

impl Daemon {
    /// Starts the controllers and binds the ports.
    pub fn spawn<P: Platform + Clone>(settings: &Settings, platform: P) -> Result<Self> {
        let (board, writers) = Blackboard::open();
        let telemetry = Arc::new(Telemetry::open()?);
        let platform = ObservedPlatform::new(platform, telemetry.platform.clone());
        let own = own_record(settings, Timestamp::from_system_clock());
        let (members_tx, member_requests) = bounded(CONTROL_QUEUE_CAPACITY);
        let (distribution_tx, distribution_requests) = bounded(CONTROL_QUEUE_CAPACITY);
        let (orders_tx, order_requests) = bounded(CONTROL_QUEUE_CAPACITY);
        let (forwarded_calls, forwarded_requests) = bounded(FORWARDED_CALL_QUEUE_CAPACITY);
        let inboxes = Inboxes {
            members: members_tx,
            distribution: distribution_tx,
            orders: orders_tx,
            forwarded_calls,
        };
        let traffic = ControlTraffic::default();
        PeerPort::bind(
            settings.peer_addr,
            settings.peer_threads,
            &inboxes,
            &traffic,
        )?;
        let links = PeerLinks::spawn(settings.peer_threads, &traffic)?;
        let orders = OrderClient::new(&own, inboxes.orders.clone(), links.clone());
        let (audit, events) = AuditController::channel();
        let (platform_updates_tx, platform_updates) = crate::controller::platform_update_channel();
        let (zone_jobs_tx, zone_jobs) = ZoneObjects::<ObservedPlatform<P>>::job_channel();
        let (contacts_tx, contacts) = ZoneObjects::<ObservedPlatform<P>>::contacts_channel();
        let (leave, leave_requests) = StopController::channel();
        let (gate, gate_inbox, decided) = AdmissionGate::open(DEFAULT_SLOTS, board.load.clone());
        let controllers = vec![
            AuditController::spawn(events, writers.audit)?,
            AuditPublisher {
                own: own.clone(),
                platform: platform.clone(),
                members: board.members.clone(),
                audit: board.audit.clone(),
            }
            .spawn()?,
            StopController {
                own: own.clone(),
                config: board.config.clone(),
                members: board.members.clone(),
                drains: writers.drains,
                audit: audit.clone(),
                leave_requests,
            }
            .spawn()?,
            MembershipController {
                own: own.clone(),
                first_peers: settings.first_peers.clone(),
                config: board.config.clone(),
                drains: board.drains.clone(),
                members: writers.members,
                requests: member_requests,
                jobs: zone_jobs_tx,
                contacts,
                links: links.clone(),
                audit: audit.clone(),
            }
            .spawn()?,
            EndpointController {
                own: settings.node.clone(),
                members: board.members.clone(),
                drains: board.drains.clone(),
                endpoints: writers.endpoints,
                audit: audit.clone(),
            }
            .spawn()?,
            DistributionController {
                own: settings.node.clone(),
                members: board.members.clone(),
                config: writers.config,
                requests: distribution_requests,
                platform_updates,
                links: links.clone(),
                audit: audit.clone(),
            }
            .spawn()?,
            OrderController {
                own: settings.node.clone(),
                incarnation: orders.incarnation(),
                platform: platform.clone(),
                config: board.config.clone(),
                members: board.members.clone(),
                claims: writers.claims,
                requests: order_requests,
                issued_count: orders.issued_count(),
                links: links.clone(),
                audit,
            }
            .spawn()?,
            PlatformReader {
                own,
                platform: platform.clone(),
                members: board.members.clone(),
                updates: platform_updates_tx,
            }
            .spawn()?,
            ZoneObjects {
                platform,
                jobs: zone_jobs,
                contacts: contacts_tx,
            }
            .spawn()?,
            LoadController {
                service: settings.service.clone(),
                config: board.config.clone(),
                load: writers.load,
                gate: Arc::clone(&gate),
                inbox: gate_inbox,
            }
            .spawn()?,
        ];
        let backend = HttpBackend::open(settings.backend_addr);
        let path = Arc::new(RequestPath::new(
            settings.node.clone(),
            settings.zone.clone(),
            board.clone(),
            gate,
            backend,
            links,
            orders,
        ));
        ForwardedCallWorkers::spawn(
            settings.carry_threads,
            forwarded_requests,
            decided,
            Arc::clone(&path),
        )?;
        let callers = CallerPort::bind(
            settings.caller_addr,
            settings.max_connections,
            Duration::from_millis(settings.idle_timeout_ms),
            board.clone(),
            path,
            CallObserver::new(&settings.node, Arc::clone(&telemetry)),
        )?;
        let admin = AdminPort::bind(
            settings.admin_addr,
            settings.node.clone(),
            board.clone(),
            telemetry,
            traffic,
        )?;
        info!(
            "daemon: {} accepts calls on {}",
            settings.node,
            callers.addr()
        );
        Ok(Self {
            board,
            leave,
            _controllers: controllers,
            _callers: callers,
            _admin: admin,
        })
    }

    /// Makes the daemon leave the mesh permanently.
    ///
    /// The channel gets a message once no request is in flight and no new one can start.
    pub fn leave(&self) -> Receiver<()> {
        self.leave.leave()
    }

    /// Returns the daemon's blackboard.
    pub fn board(&self) -> &Blackboard {
        &self.board
    }
}

fn own_record(settings: &Settings, now: Timestamp) -> MemberRecord {
    MemberRecord {
        id: settings.node.clone(),
        incarnation: Incarnation(now.as_millis()),
        seq: 1,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        service: settings.service.clone(),
        peer_addr: settings.peer_addr,
        admin_addr: settings.admin_addr,
        slots: u32::from(DEFAULT_SLOTS),
        state: MemberState::Starting,
    }
}
