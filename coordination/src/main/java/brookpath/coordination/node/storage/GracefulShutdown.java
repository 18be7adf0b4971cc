package brookpath.coordination.node.storage;

import static brookpath.coordination.message.ResponseStatus.OK;

import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.Response;
import java.util.Collection;

/** Hands the leaderships of this node over to other replicas before the process ends. */
public final class GracefulShutdown {
    private static final long NOT_REQUESTED = 0;

    private final Actions out;
    private long requestId = NOT_REQUESTED;

    public GracefulShutdown(final Actions out) {
        this.out = out;
    }

    /** Begins; the request has its response once nothing is led here any more. */
    public void begin(final long request) {
        requestId = request;
    }

    /** Whether it was requested and is not complete yet. */
    public boolean isUnderWay() {
        return requestId != NOT_REQUESTED;
    }

    /** Asks each group that is still led here for a hand-over. */
    public void tick(final Collection<GroupMachine> groups, final long now) {
        if (!isUnderWay()) {
            return;
        }
        boolean complete = true;
        for (final GroupMachine group : groups) {
            complete &= group.retreat(now);
        }
        if (complete) {
            out.respond(requestId, new Response(OK, 0, "{}"));
            requestId = NOT_REQUESTED;
        }
    }
}
