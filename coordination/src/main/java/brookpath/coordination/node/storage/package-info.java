/**
 * The parts of a storage node, one class per concern. {@link brookpath.coordination.node.storage.TopicGroups} owns the
 * replicas of topic groups on this node; {@link brookpath.coordination.node.storage.PublishAdmission} accepts or
 * refuses publishes; {@link brookpath.coordination.node.storage.FetchHandler} serves the gateways' reads. All of it
 * runs on the state thread, takes (event, now) and returns actions: no clock, I/O or thread of its own. Times are
 * monotonic milliseconds unless a name says otherwise.
 */
package brookpath.coordination.node.storage;
