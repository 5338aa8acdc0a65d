//! The priority of a request, from those of its workspace and its route.

use crate::Workspace;

/// The number of route priorities that are told apart within one priority of a workspace.
const ROUTE_PRIORITIES: u8 = 10;
/// The largest priority of a workspace that is told apart from the next.
const WORKSPACE_PRIORITY_MAX: u8 = 24;
/// The priorities of workspaces, and of routes within one, that engines tell apart. Engines know ten
/// priorities in all.
const ENGINE_PRIORITIES: u8 = 3;

/// Returns the priority of a request at an entry; 0 is the most urgent.
///
/// The priority of the workspace precedes that of the route. Without a workspace it is that of the
/// route.
pub fn entry_priority(workspace: Option<&Workspace>, route_priority: u8) -> u8 {
    workspace.map_or(route_priority, |workspace| {
        workspace.priority.min(WORKSPACE_PRIORITY_MAX) * ROUTE_PRIORITIES
            + route_priority.min(ROUTE_PRIORITIES - 1)
    })
}

/// Returns the priority of a request at an engine, which knows fewer priorities than an entry.
pub fn engine_priority(workspace: Option<&Workspace>, route_priority: u8) -> u8 {
    let highest = ENGINE_PRIORITIES - 1;
    workspace.map_or(route_priority, |workspace| {
        workspace.priority.min(highest) * ENGINE_PRIORITIES + route_priority.min(highest)
    })
}
