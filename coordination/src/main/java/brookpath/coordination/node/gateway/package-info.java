/**
 * The gateway's parts. {@link brookpath.coordination.node.gateway.PublishForwarder} brings publishes to the leaders of
 * their groups; {@link brookpath.coordination.node.gateway.Subscriptions} holds the callers' sessions and reads what
 * they listen to. All of it runs on the state thread, takes (event, now) and returns actions.
 */
package brookpath.coordination.node.gateway;
