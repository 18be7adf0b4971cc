package brookpath.coordination.node.storage;

/**
 * Whether the logs of this node, as a leader and as a follower, take as much memory as they may. A process that
 * exhausts its memory would end, and find the same logs after its restart; so the leaders of its groups append nothing
 * new while it is full. Not thread-safe: the state thread owns it.
 */
public final class HistoryMemory {
    /** A full node counts as full until this part of the limit is free again, so that its answers do not alternate. */
    private static final int FREE_PART = 16;

    private final TopicGroups groups;
    private final long maxLogMemoryBytes;
    private boolean full;

    /** @param maxLogMemoryBytes the size of all logs in memory beyond which the node is full */
    public HistoryMemory(final TopicGroups groups, final long maxLogMemoryBytes) {
        this.groups = groups;
        this.maxLogMemoryBytes = maxLogMemoryBytes;
    }

    /** Looks at the logs again; true where the node has become full. */
    public boolean update() {
        final boolean wasFull = full;
        final long freeBytes = maxLogMemoryBytes - groups.logMemoryBytes();
        full = freeBytes < (wasFull ? maxLogMemoryBytes / FREE_PART : 0);
        return full && !wasFull;
    }

    /** Whether the node was full at the last look. */
    public boolean isFull() {
        return full;
    }
}
