/**
 * The state that every member of a topic group derives from the group's log: the senders' sequences, the trimmed
 * history and the usage windows.
 */
package brookpath.coordination.topic;
