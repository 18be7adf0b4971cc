/**
 * Decides from immutable tables alone (configuration, cluster metadata, heartbeats) which group and which node a
 * request goes to, or why it is refused. Nothing here has state or sends messages.
 */
package brookpath.coordination.route;
