/**
 * The state that every member of a topic group derives from the group's log.
 * {@link brookpath.coordination.topic.TopicState} owns the senders' sequences, the trimmed positions and the usage
 * windows of one group; it is used on the state thread only and changes only by applying log records.
 */
package brookpath.coordination.topic;
