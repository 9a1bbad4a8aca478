//! Division of a controller's sockets between its uses.

use super::users::writes::USER_WRITES_MAX;
use crate::config::Config;
use crate::http;
use crate::peers;

/// HTTP clients that a controller keeps: two of the state service, for calls and for watches, and one of the cloud.
const SERVICE_CLIENTS: usize = 3;
/// Sockets reserved for uses that are not counted one by one.
pub(super) const RESERVED_SOCKETS: usize = 16;
/// Minimum share of all sockets for users and workers.
const FRONT_SHARE_MIN: f64 = 0.5;
/// Share of all sockets for direct commands to workers.
const DIRECT_COMMAND_SHARE: f64 = 0.02;
/// Minimum number of sockets for direct commands.
const DIRECT_COMMANDS_MIN: usize = 24;

/// Maximum number of direct commands to workers in flight at once.
pub(super) fn direct_commands_max(config: &Config) -> usize {
    let sockets = config.deployment.limits.max_sockets as f64;
    ((sockets * DIRECT_COMMAND_SHARE) as usize).max(DIRECT_COMMANDS_MIN)
}

/// Sockets for users and workers: all except those for the links between controllers and for the calls that this
/// controller makes. Those calls, above all the renewal of the leader's lease, must never lack a socket. A fixed share
/// for users and workers is not enough: with one, a third of the workers of a large fleet are rejected while sockets
/// are free.
pub(super) fn front_sockets(config: &Config) -> usize {
    let sockets = config.deployment.limits.max_sockets;
    // At most `LINKS_PER_PEER` accepted links for each known peer, and the one that this controller opens to it.
    let peer_links_max = config.peers.len() * (peers::LINKS_PER_PEER + 1);
    let calls_max =
        direct_commands_max(config) + USER_WRITES_MAX + SERVICE_CLIENTS * http::IDLE_MAX;
    let front_sockets_min = (sockets as f64 * FRONT_SHARE_MIN) as usize;
    sockets
        .saturating_sub(peer_links_max + calls_max + RESERVED_SOCKETS)
        .max(front_sockets_min)
}
