package brookpath.testing.model;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Membership;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** One member: the production state machines, and a disk modelled as a list of entries with a synced prefix. */
final class ModelMember {
    static final int GROUP = 0;
    static final int TOLERATED_LOSSES = 1;

    final int id;
    private final long retentionMs;
    private final Set<Integer> peers = new TreeSet<>();

    final List<byte[]> entries = new ArrayList<>();
    int syncedEntries;
    private int entriesAtStart;

    boolean alive;
    boolean frozen;
    boolean diskStalled;
    boolean held;
    boolean cutInbound;
    boolean cutOutbound;
    long skewMs;
    int configuredVersion;

    /** The role at the last check of the {@link Invariants}, which also keep the next three fields. */
    int lastRole;

    long lastCommitted;
    int wipes;
    /** A wiped member may vote only once its durable log reaches this index; 0 if there is nothing to rebuild. */
    long rebuildUntil;

    GroupMachine group;
    HeartbeatMonitor heartbeats;
    Actions out;
    Actions heartbeatOut;

    ModelMember(final int id, final int members, final long retentionMs) {
        this.id = id;
        this.retentionMs = retentionMs;
        for (int node = 1; node <= members; node++) {
            if (node != id) {
                peers.add(node);
            }
        }
    }

    void start(final Membership placed, final boolean first, final long now) {
        alive = true;
        lastRole = GroupMachine.FOLLOWER;
        entriesAtStart = entries.size();
        out = new Actions();
        heartbeatOut = new Actions();
        final HeartbeatPromises promises = new HeartbeatPromises(TimingBounds.DEFAULT.detectionTime());
        heartbeats = new HeartbeatMonitor(TimingBounds.DEFAULT, TimingBounds.DEFAULT.heartbeat(), promises);
        heartbeats.setPeers(peers);
        group = machine(promises, out);
        replay(group, entries.size(), now);
        group.startedAt(now);
        if (first) {
            group.found();
        }
        configuredVersion = 0;
        if (placed.holds(id)) {
            configure(placed, now);
        }
        lastCommitted = group.committed();
    }

    void configure(final Membership placed, final long now) {
        configuredVersion = placed.version();
        group.configure(placed, true, now);
    }

    /** The state machine that a restart would recover from the synced part of the disk. */
    GroupMachine durable() {
        final GroupMachine machine =
                machine(new HeartbeatPromises(TimingBounds.DEFAULT.detectionTime()), new Actions());
        replay(machine, syncedEntries, 0);
        return machine;
    }

    private GroupMachine machine(final HeartbeatPromises promises, final Actions actions) {
        return new GroupMachine(
                GROUP,
                id,
                TimingBounds.DEFAULT,
                TOLERATED_LOSSES,
                1,
                () -> new DigestState(retentionMs),
                promises,
                actions);
    }

    private void replay(final GroupMachine machine, final int count, final long now) {
        for (final byte[] entry : entries.subList(0, count)) {
            final PackedBuffer in = PackedBuffer.reader(entry);
            in.getLong();
            machine.replay(in, now);
        }
    }

    boolean hasUnsynced() {
        return syncedEntries < entries.size();
    }

    /** Syncs the first {@code upTo} entries; returns the write number of the last one in the running state machine. */
    long sync(final int upTo) {
        syncedEntries = upTo;
        return (long) upTo - entriesAtStart;
    }

    void crash(final int kept) {
        alive = false;
        frozen = false;
        final int end = kept == Choice.KEEP_ALL
                ? entries.size()
                : Math.min(entries.size(), syncedEntries + (kept == Choice.KEEP_FIRST ? 1 : 0));
        entries.subList(end, entries.size()).clear();
        syncedEntries = end;
    }

    void wipe() {
        eraseDisk();
        wipes++;
    }

    /** Stops the member and erases its disk. */
    void eraseDisk() {
        crash(Choice.KEEP_NOTHING);
        entries.clear();
        syncedEntries = 0;
    }

    boolean runs() {
        return alive && !frozen;
    }
}
