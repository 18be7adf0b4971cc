package brookpath.tools.datafolder;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.metadata.ClusterMetadata;
import brookpath.coordination.node.ControllerNode;
import brookpath.coordination.node.storage.TopicGroups;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.PackedBuffer;
import java.util.List;
import java.util.TreeMap;

/** Restores the replication groups from the write-ahead log of a data folder. */
final class StoredGroups {
    private static final int ANY_NODE = 0;
    private static final int ANY_TOLERATED_LOSSES = 1;
    private static final long ANY_SEED = 0;
    private static final long REPLAY_TIME = 0;

    private StoredGroups() {}

    /**
     * Replays the entries of a write-ahead log, oldest first.
     *
     * @param findings a finding is added here for each entry that cannot be replayed
     * @return the groups by group number
     */
    static TreeMap<Integer, GroupMachine> replay(final Iterable<byte[]> entries, final List<String> findings) {
        final TreeMap<Integer, GroupMachine> groups = new TreeMap<>();
        int number = 0;
        for (final byte[] entry : entries) {
            number++;
            try {
                replayEntry(entry, groups);
            } catch (final RuntimeException ex) {
                findings.add("entry " + number + ": cannot be replayed: " + ex.getMessage());
            }
        }
        return groups;
    }

    private static void replayEntry(final byte[] entry, final TreeMap<Integer, GroupMachine> groups) {
        final PackedBuffer in = PackedBuffer.reader(entry);
        final int id = (int) in.getLong();
        switch (TopicGroups.scopeOf(entry)) {
            case NODE -> ClusterMetadata.load(in.skipBytes(Long.BYTES).getBytes());
            case DROPPED_GROUP -> groups.remove(id);
            case GROUP -> groups.computeIfAbsent(id, StoredGroups::emptyGroup).replay(in, REPLAY_TIME);
        }
    }

    private static GroupMachine emptyGroup(final int id) {
        return new GroupMachine(
                id,
                ANY_NODE,
                TimingBounds.DEFAULT,
                ANY_TOLERATED_LOSSES,
                ANY_SEED,
                id == ControllerNode.CONTROL_GROUP ? ControlState::new : StoredGroups::emptyTopics,
                new HeartbeatPromises(0),
                new Actions());
    }

    private static TopicState emptyTopics() {
        return new TopicState((topic, now) -> Long.MAX_VALUE, TimingBounds.DEFAULT.windowMs());
    }
}
