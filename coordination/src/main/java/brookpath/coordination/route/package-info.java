/**
 * Determines from immutable tables alone (configuration, cluster metadata, heartbeats) the group and the node that a
 * request is routed to, or the reason for its refusal. A new {@link brookpath.coordination.route.RouteFinder} is
 * created for each decision. Nothing here is mutable or sends messages.
 */
package brookpath.coordination.route;
