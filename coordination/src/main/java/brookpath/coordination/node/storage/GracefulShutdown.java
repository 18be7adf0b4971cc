package brookpath.coordination.node.storage;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import java.util.Collection;

/** Transfers the leaderships of this node to other replicas before the process ends. */
public final class GracefulShutdown {
    private static final long NOT_REQUESTED = 0;

    private final Actions out;
    private long requestId = NOT_REQUESTED;

    public GracefulShutdown(final Actions out) {
        this.out = out;
    }

    /** Begins the shutdown; the response follows once this node leads no group. */
    public void begin(final long request) {
        requestId = request;
    }

    /** Whether a shutdown was requested and is not complete yet. */
    public boolean isUnderWay() {
        return requestId != NOT_REQUESTED;
    }

    /** Attempts a leadership transfer for each group that this node still leads, and responds once none is left. */
    public void tick(final Collection<GroupMachine> groups, final long now) {
        if (!isUnderWay()) {
            return;
        }
        boolean complete = true;
        for (final GroupMachine group : groups) {
            complete &= group.withdraw(now);
        }
        if (complete) {
            out.respond(requestId, new Response(OK, 0, "{}"));
            requestId = NOT_REQUESTED;
        }
    }
}
