package brookpath.coordination.node.storage;

import brookpath.coordination.action.Actions;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.metadata.ClusterMetadata.GroupInfo;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.ChunkedBuffer;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * The topic groups that have a replica on this node: opened when the cluster metadata names this node as a member,
 * dropped when a newer group version no longer does, and rebuilt from the log at the start.
 *
 * <p>Invariant: a group is dropped only after the group's own log has committed a membership without this node.
 */
public final class TopicGroups {
    /** Kind of the log entry by which this node drops a group. */
    private static final long DROPPED = 100;
    /** Kind of the log entry that contains cluster metadata, which belongs to no group. */
    private static final long METADATA = 101;
    /** In place of the group ID in entries that belong to no group. */
    private static final long NO_GROUP = -1;

    /** What a log entry is about; the kinds of a group's own entries are {@link GroupMachine}'s. */
    public enum EntryScope {
        /** A group that this node holds a replica of. */
        GROUP,
        /** A group that this node has left. */
        DROPPED_GROUP,
        /** The node as a whole. */
        NODE
    }

    private final int self;
    private final IntFunction<GroupMachine> factory;
    private final ConfigurationClient client;
    private final Actions out;
    private final TreeMap<Integer, GroupMachine> groups = new TreeMap<>();
    /** The newest cluster metadata in the local log. */
    private ClusterMetadata loggedMetadata = ClusterMetadata.NONE;

    /**
     * @param self this node
     * @param factory makes the empty replica of a group
     * @param client gives the cluster metadata, which says who is a member of which group
     */
    public TopicGroups(
            final int self,
            final IntFunction<GroupMachine> factory,
            final ConfigurationClient client,
            final Actions out) {
        this.self = self;
        this.factory = factory;
        this.client = client;
        this.out = out;
    }

    /** What the log entry, which begins with a group and a kind, is about. */
    public static EntryScope scopeOf(final byte[] entry) {
        final long kind = PackedBuffer.reader(entry).skipBytes(Long.BYTES).getLong();
        if (kind == METADATA) {
            return EntryScope.NODE;
        }
        return kind == DROPPED ? EntryScope.DROPPED_GROUP : EntryScope.GROUP;
    }

    /** The state that follows from the group's log up to its newest record. */
    static TopicState stateOf(final GroupMachine group) {
        return (TopicState) group.live();
    }

    /** This node's replica of a group; null where it has none. */
    public GroupMachine get(final int id) {
        return groups.get(id);
    }

    /** All replicas of this node, in the order of the groups' IDs. */
    public Collection<GroupMachine> all() {
        return groups.values();
    }

    /** About how much memory the logs of all replicas of this node take, in bytes. */
    long logMemoryBytes() {
        long bytes = 0;
        for (final GroupMachine group : groups.values()) {
            bytes += group.logMemoryBytes();
        }
        return bytes;
    }

    /** The cluster metadata of a group; null where there is no such group. */
    GroupInfo metadataOf(final int id) {
        for (final GroupInfo info : client.metadata().groups()) {
            if (info.id() == id) {
                return info;
            }
        }
        return null;
    }

    /** Replays one entry of the log before the first event. */
    public void replay(final byte[] entry, final long now) {
        final PackedBuffer in = PackedBuffer.reader(entry);
        final int id = (int) in.getLong();
        switch (scopeOf(entry)) {
            case NODE -> {
                loggedMetadata = ClusterMetadata.load(in.skipBytes(Long.BYTES).getBytes());
                client.restore(loggedMetadata);
            }
            case DROPPED_GROUP -> groups.remove(id);
            case GROUP -> open(id).replay(in, now);
        }
    }

    /**
     * Writes newer cluster metadata to the log, before any entry that results from it, so that a restart never replays
     * such an entry without the metadata.
     */
    private void logMetadata(final ClusterMetadata metadata) {
        // A restarted node needs the members of its groups and their addresses to elect leaders; waiting for the
        // control plane's own election first would double the time without service after a loss of power
        if (metadata.version() > loggedMetadata.version()) {
            loggedMetadata = metadata;
            out.write(metadataEntry());
        }
    }

    private byte[] metadataEntry() {
        return PackedBuffer.writer()
                .putLong(NO_GROUP)
                .putLong(METADATA)
                .putBytes(loggedMetadata.save())
                .toByteArray();
    }

    /**
     * Opens, reconfigures and drops groups according to newer cluster metadata.
     *
     * @return the IDs of the groups that were dropped
     */
    public List<Integer> reconfigure(final ClusterMetadata metadata, final long now) {
        logMetadata(metadata);
        final List<Integer> dropped = new ArrayList<>();
        for (final GroupInfo info : metadata.groups()) {
            final GroupMachine group = groups.get(info.id());
            if (info.membership().holds(self)) {
                if (group == null) {
                    // A new learner pulls once it hears the group's leader; otherwise it would wait for the next
                    // heartbeat
                    out.heartbeatNow();
                }
                open(info.id()).configure(info.membership(), info.founded(), now);
            } else if (group != null && group.groupVersion() <= info.version()) {
                // The group's log has committed that this node is not a member any more, so this replica is not needed
                drop(info);
                dropped.add(info.id());
            }
        }
        return dropped;
    }

    private GroupMachine open(final int id) {
        return groups.computeIfAbsent(id, factory::apply);
    }

    private void drop(final GroupInfo info) {
        groups.remove(info.id());
        out.write(PackedBuffer.writer().putLong(info.id()).putLong(DROPPED).toByteArray());
        out.note("group " + info.id() + ": dropped, not a member in group version " + info.version());
    }

    /** The range of indexes of each replica, its commit index and its term, as text for the log. */
    public String describe() {
        final StringBuilder text = new StringBuilder(groups.size() + " groups");
        for (final GroupMachine group : groups.values()) {
            text.append("; ")
                    .append(group.id())
                    .append(": ")
                    .append(group.baseIndex())
                    .append("..")
                    .append(group.endIndex())
                    .append(" committed ")
                    .append(group.committed())
                    .append(" term ")
                    .append(group.term());
        }
        return text.toString();
    }

    /**
     * Begins a new log segment with a snapshot of all groups.
     *
     * @param now of the steady clock, in milliseconds
     */
    public void rollLog(final long now) {
        final ChunkedBuffer buffer = new ChunkedBuffer();
        if (loggedMetadata.version() > 0) {
            buffer.putBytes(metadataEntry());
        }
        groups.values().forEach(group -> group.checkpoint(now).forEach(buffer::putBytes));
        out.roll(buffer);
    }

    /** The state of each group, for the heartbeats. */
    public List<HeartbeatEntry> heartbeatEntries(final long now) {
        final List<HeartbeatEntry> entries = new ArrayList<>();
        for (final GroupMachine group : groups.values()) {
            if (!group.members().isEmpty()) {
                entries.add(group.entry(now));
            }
        }
        return entries;
    }

    /** The voters and learners of all groups, other than this node. */
    public Set<Integer> peers() {
        final Set<Integer> nodes = new HashSet<>();
        groups.values().forEach(group -> {
            group.members().forEach(member -> nodes.add(member.node()));
            group.membership().learners().forEach(learner -> nodes.add(learner.node()));
        });
        nodes.remove(self);
        return nodes;
    }
}
