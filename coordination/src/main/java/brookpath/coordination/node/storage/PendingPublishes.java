package brookpath.coordination.node.storage;

import static brookpath.coordination.message.PublishOutcome.ACCEPTED;
import static brookpath.coordination.message.PublishOutcome.UNSETTLED;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.PublishReply;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;

/** The publishes, per group, that the leader has appended and whose gateways wait until they are committed. */
public final class PendingPublishes {
    /** The maximum number of pending publishes of one group. */
    private static final int MAX_PENDING = 4_096;

    private record PendingPublish(int gateway, long requestId, long index, int requiredReplicas, long deadline) {}

    private final TimingBounds timing;
    private final Actions out;
    private final TreeMap<Integer, List<PendingPublish>> byGroup = new TreeMap<>();

    public PendingPublishes(final TimingBounds timing, final Actions out) {
        this.timing = timing;
        this.out = out;
    }

    boolean isFull(final int group) {
        final List<PendingPublish> pending = byGroup.get(group);
        return pending != null && pending.size() >= MAX_PENDING;
    }

    /**
     * Adds a publish, which is replied to once enough replicas have its record.
     *
     * @param index the position of the publish in the group's log
     */
    void add(
            final int group,
            final int gateway,
            final long requestId,
            final long index,
            final int requiredReplicas,
            final long now) {
        final long deadline = now + timing.commitDeadline();
        byGroup.computeIfAbsent(group, id -> new ArrayList<>())
                .add(new PendingPublish(gateway, requestId, index, requiredReplicas, deadline));
    }

    /** Replies to the publishes whose outcome is decided by the group's commit index, its role, or the time. */
    public void resolve(final GroupMachine group, final long now) {
        final List<PendingPublish> pending = byGroup.get(group.id());
        if (pending == null || pending.isEmpty()) {
            return;
        }
        // Checked again right before the reply: a leader that was suspended meanwhile must not reply in place of its
        // successor
        final boolean mayAct = group.mayAct(now);
        for (final Iterator<PendingPublish> iterator = pending.iterator(); iterator.hasNext(); ) {
            if (resolve(iterator.next(), group, mayAct, now)) {
                iterator.remove();
            }
        }
    }

    /** True where the outcome is decided and the gateway has its reply. */
    private boolean resolve(
            final PendingPublish publish, final GroupMachine group, final boolean mayAct, final long now) {
        if (mayAct && isReplicated(publish, group)) {
            out.send(publish.gateway, new PublishReply(publish.requestId, ACCEPTED, publish.index, 0, 0, ""));
        } else if (group.role() != GroupMachine.LEADER) {
            unsettled(publish, "the leader stepped down");
        } else if (now >= publish.deadline) {
            unsettled(publish, "not enough replicas in time");
        } else {
            return false;
        }
        return true;
    }

    private static boolean isReplicated(final PendingPublish publish, final GroupMachine group) {
        return publish.index <= group.committed()
                && (publish.index <= group.baseIndex() || group.replicas(publish.index) >= publish.requiredReplicas);
    }

    private void unsettled(final PendingPublish publish, final String reason) {
        out.send(publish.gateway, new PublishReply(publish.requestId, UNSETTLED, 0, 0, 0, reason));
    }

    /** Discards the publishes of a dropped group; the gateways retry with its leader. */
    public void drop(final int group) {
        byGroup.remove(group);
    }
}
