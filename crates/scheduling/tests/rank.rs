//! The order of requests by the urgency of their workspace and of their route.

use scheduling::rank;
use yare::parameterized;

/// Guards against workspaces of the same rank that make the requests of all routes equally urgent:
/// short chats then wait behind long drafts.
#[parameterized(
    same_workspaces = { (1, 0), (1, 2) },
    urgent_workspace = { (0, 2), (1, 0) },
    urgent_route_of_the_most_urgent_workspaces = { (0, 0), (0, 1) },
    without_a_workspace = { (0, 0), (2, 2) },
)]
fn the_more_urgent_request_has_the_lower_rank(urgent: (u8, u8), other: (u8, u8)) {
    let combined = |(workspace, route)| rank::combine(workspace, route);
    assert!(combined(urgent) < combined(other));
}

/// Guards against ranks that engines do not know.
#[test]
fn the_least_urgent_rank_is_one_that_engines_know() {
    assert_eq!(rank::combine(u8::MAX, u8::MAX), 8);
}
