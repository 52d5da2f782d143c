//! The sections of the blackboard of a daemon.

use super::section::{SectionReader, SectionWriter, section};
use crate::audit::AuditLog;
use crate::claims::ClaimsSnapshot;
use crate::config::ConfigSnapshot;
use crate::drain::Drains;
use crate::endpoint::Endpoints;
use crate::load::LoadSnapshot;
use crate::member::Members;

macro_rules! board {
    ($($(#[$doc:meta])* $field:ident: $kind:ty,)*) => {
        /// The readers of all sections.
        #[derive(Clone, Debug)]
        pub struct Blackboard {
            $($(#[$doc])* pub $field: SectionReader<$kind>,)*
        }

        /// The writers of all sections. Each writer is moved into the controller that owns it.
        pub struct Writers {
            $($(#[$doc])* pub $field: SectionWriter<$kind>,)*
        }

        impl Blackboard {
            /// Creates a blackboard with empty sections.
            pub fn open() -> (Blackboard, Writers) {
                $(let $field = section(<$kind>::default());)*
                let writers = Writers { $($field: $field.0,)* };
                (Blackboard { $($field: $field.1,)* }, writers)
            }
        }
    };
}

board! {
    /// The accepted configuration in force. Written by the distribution controller.
    config: Option<ConfigSnapshot>,
    /// Members known to this daemon. Written by the membership controller.
    members: Members,
    /// Eligible backend servers of each service. Written by the endpoint controller.
    endpoints: Endpoints,
    /// Planned stops and the drain of this backend server. Written by the stop controller.
    drains: Drains,
    /// Concurrency limit and queue lengths. Written by the load controller.
    load: LoadSnapshot,
    /// Claims of orders. Written by the order controller.
    claims: ClaimsSnapshot,
    /// Recent audit events. Written by the audit controller.
    audit: AuditLog,
}
