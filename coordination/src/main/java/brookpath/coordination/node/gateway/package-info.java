/**
 * The classes that a gateway consists of. {@link brookpath.coordination.node.gateway.PublishForwarder} forwards
 * publishes to the leaders of their groups; {@link brookpath.coordination.node.gateway.Subscriptions} owns the callers'
 * sessions and fetches their topics. All of it runs on the state thread, is called with an event and the current time,
 * and emits actions.
 */
package brookpath.coordination.node.gateway;
