//! The order of requests by the urgency of their workspace and of their route.

/// The ranks of routes that are told apart among the requests of equally urgent workspaces, and
/// the ranks of workspaces that are told apart. Engines know nine ranks.
const LEVELS: u8 = 3;

/// The rank of a request whose workspace and route have these ranks: the workspace's counts
/// first, and the route's among workspaces of the same one.
///
/// Most workspaces have the same rank. If it replaced the route's, their requests of all routes
/// would be equally urgent.
pub fn combine(workspace: u8, route: u8) -> u8 {
    workspace.min(LEVELS - 1) * LEVELS + route.min(LEVELS - 1)
}

/// The first rank of the workspaces that a combined rank belongs to.
pub(crate) fn level_start(rank: u8) -> u8 {
    rank - rank % LEVELS
}

/// Whether two combined ranks belong to equally urgent workspaces.
pub(crate) fn is_same_level(one: u8, other: u8) -> bool {
    level_start(one) == level_start(other)
}
