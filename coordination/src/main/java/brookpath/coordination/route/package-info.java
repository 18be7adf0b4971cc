/**
 * Decides from immutable tables alone (configuration, cluster metadata, heartbeats) the group and the node that a
 * request is routed to, or the reason for its refusal. {@link brookpath.coordination.route.RouteFinder} is made anew
 * for each decision. Nothing here has state or sends messages.
 */
package brookpath.coordination.route;
