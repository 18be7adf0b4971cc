package brookpath.coordination.node.gateway;

import brookpath.coordination.action.Actions;
import java.util.function.Supplier;

/** Moves the sessions of a draining node to other nodes. */
final class SessionDrain {
    private static final String CLOSE_REASON = "this node is draining; resume at another gateway with the cursor";

    private final SessionRegistry registry;
    private final SessionTerminator terminator;
    private final Actions out;

    SessionDrain(final SessionRegistry registry, final SessionTerminator terminator, final Actions out) {
        this.registry = registry;
        this.terminator = terminator;
        this.out = out;
    }

    /** Spreads the sessions' moves over the duration, so that they do not all reach the other nodes at once. */
    void schedule(final long durationMs, final long now) {
        int index = 0;
        for (final Session session : registry.sessions()) {
            session.moveAt = now + durationMs * index / registry.size();
            index++;
        }
    }

    void cancel() {
        registry.sessions().forEach(session -> session.moveAt = Session.NEVER);
    }

    /** Moves the sessions whose move is due. */
    void moveDue(final Supplier<String> nextAddress, final long now) {
        for (final Session session : registry.sessions()) {
            if (session.started && now >= session.moveAt) {
                move(session, nextAddress);
            }
        }
    }

    private void move(final Session session, final Supplier<String> nextAddress) {
        terminator.cancelRequests(session);
        registry.remove(session);
        if (session.sharedCursor) {
            out.closeSession(session.id, CLOSE_REASON);
        } else {
            out.moveSession(session.id, nextAddress.get());
        }
    }
}
