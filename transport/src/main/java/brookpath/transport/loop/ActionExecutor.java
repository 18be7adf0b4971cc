package brookpath.transport.loop;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.usage.PostOutcome;
import brookpath.transport.log.LogRing;
import brookpath.transport.wire.Wire;
import java.util.List;

/** Executes the actions that the node returns, on the state thread, without waiting for a disk or a socket. */
final class ActionExecutor {
    private final EventQueue events;
    private final Wire wire;
    private final HeartbeatLoop heartbeats;
    private final DiskLoop disk;
    private final PendingRequests requests;
    private final SessionSinks sinks;
    private final Host.Poster poster;

    /** @param disk null if the machine has no disk; writes are then dropped and never reported as synced */
    ActionExecutor(
            final EventQueue events,
            final Wire wire,
            final HeartbeatLoop heartbeats,
            final DiskLoop disk,
            final PendingRequests requests,
            final SessionSinks sinks,
            final Host.Poster poster) {
        this.events = events;
        this.wire = wire;
        this.heartbeats = heartbeats;
        this.disk = disk;
        this.requests = requests;
        this.sinks = sinks;
        this.poster = poster;
    }

    void execute(final List<Action> actions) {
        for (final Action action : actions) {
            execute(action);
        }
    }

    private void execute(final Action action) {
        if (action instanceof Action.Send send) {
            send(send);
        } else if (action instanceof Action.ToDisk write) {
            write(write);
        } else if (action instanceof Action.HeartbeatNow) {
            heartbeats.requestHeartbeat();
        } else if (action instanceof Action.Respond respond) {
            requests.complete(respond.requestId(), respond.response());
        } else if (action instanceof Action.Post post) {
            post(post);
        } else if (action instanceof Action.CloseSession close) {
            sinks.close(close.sessionId(), close.reason());
        } else if (action instanceof Action.NotifyFlushed notify) {
            notifyFlushed(notify.sessionId());
        } else if (action instanceof Action.ToSession delivery) {
            deliver(delivery);
        } else if (action instanceof Action.Note note) {
            log(note);
        }
    }

    private void send(final Action.Send send) {
        if (!wire.send(send.node(), send.message())) {
            events.add((node, time) -> node.unsent(send.node(), send.message(), time));
        }
    }

    private void write(final Action.ToDisk action) {
        if (disk != null) {
            disk.add(action);
        }
    }

    private void post(final Action.Post post) {
        poster.accept(post)
                .exceptionally(ex -> PostOutcome.UNKNOWN)
                .thenAccept(outcome -> events.add(
                        (node, time) -> node.request(new NodeRequest.Posted(post.requestId(), outcome), time)));
    }

    private void notifyFlushed(final long sessionId) {
        sinks.whenFlushed(
                sessionId,
                () -> events.add((node, time) -> node.request(new NodeRequest.SessionFlushed(sessionId), time)));
    }

    private void deliver(final Action.ToSession delivery) {
        if (!sinks.deliver(delivery)) {
            events.add((node, time) -> node.request(new NodeRequest.Unsubscribe(delivery.sessionId()), time));
        }
    }

    private static void log(final Action.Note note) {
        switch (note.severity()) {
            case ERROR -> LogRing.error(note.text());
            case MILESTONE -> LogRing.milestone(note.text());
            default -> LogRing.info(note.text());
        }
    }
}
