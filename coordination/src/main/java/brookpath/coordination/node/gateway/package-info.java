/**
 * The gateway's parts. {@link brookpath.coordination.node.gateway.PublishForwarder} forwards publishes to the leaders
 * of their groups; {@link brookpath.coordination.node.gateway.Subscriptions} owns the callers' sessions and fetches
 * their topics. All of it runs on the state thread, takes (event, now) and returns actions.
 */
package brookpath.coordination.node.gateway;
