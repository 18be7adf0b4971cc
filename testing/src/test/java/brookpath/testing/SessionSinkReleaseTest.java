package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.route.Refusals;
import brookpath.transport.loop.Host;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** What a process keeps of callers whose session was not opened. */
public final class SessionSinkReleaseTest {
    private static final int ATTEMPTS = 200;

    /** A caller's connection that notes what it is offered. */
    private static final class NotedSink implements Host.Sink {
        final List<Action.ToSession> offered = new ArrayList<>();

        @Override
        public boolean offer(final Action.ToSession action) {
            offered.add(action);
            return true;
        }

        @Override
        public void close(final String reason) {
            // a process that closes ends the sinks that it still holds
        }
    }

    private static Response refusal() {
        return Refusals.refused(ResponseStatus.UNAUTHORIZED, 0, "key", "unknown key");
    }

    /** Waits until all events before it are done, and returns the number of sinks that are held. */
    private static String sessions(final Host host) {
        final long id = host.nextRequestId();
        host.submit(id, new NodeRequest.Status(id)).join();
        final String queues = host.queuesJson();
        final int start = queues.indexOf("\"sessions\":");
        return queues.substring(start, queues.indexOf(',', start));
    }

    private static void refuseOpens(final NodeRequest request, final Actions out) {
        if (request instanceof NodeRequest.Open open) {
            out.respond(open.requestId(), refusal());
            if (!open.key().isEmpty()) {
                out.moveSession(open.requestId(), open.key());
            }
        } else if (request instanceof NodeRequest.Status status) {
            out.respond(status.requestId(), new Response(ResponseStatus.OK, 0, ""));
        }
    }

    /** Guards against a gateway whose heap is filled by the connections of refused HELLOs (review/5). */
    @Test
    public void refusedSessionsLeaveNothingBehind() {
        final Host host = new ScriptedNode(SessionSinkReleaseTest::refuseOpens).start();
        try {
            for (int i = 0; i < ATTEMPTS; i++) {
                final long id = host.nextRequestId();
                final Response response = host.subscribe(id, new NodeRequest.Open(id, ""), new NotedSink())
                        .join();
                assertEquals(response.status(), ResponseStatus.UNAUTHORIZED.code());
            }
            assertEquals(sessions(host), "\"sessions\":0");
        } finally {
            host.close();
        }
    }

    /** Guards against an OK to SUBSCRIBE behind the first messages, or to DETACH ahead of the last (review/6). */
    @Test
    public void aHandlerRunsInTheOrderOfTheNodesActions() {
        final Host host = new ScriptedNode(SessionSinkReleaseTest::refuseOpens).start();
        try {
            for (int i = 0; i < ATTEMPTS; i++) {
                final CompletableFuture<String> thread = new CompletableFuture<>();
                final long id = host.nextRequestId();
                host.submit(
                        id,
                        new NodeRequest.Status(id),
                        response -> thread.complete(Thread.currentThread().getName()));
                assertEquals(thread.join(), "state");
            }
        } finally {
            host.close();
        }
    }

    @Test
    public void aRedirectedCallerGetsItsMoveAndLeavesNothingBehind() {
        final Host host = new ScriptedNode(SessionSinkReleaseTest::refuseOpens).start();
        try {
            final NotedSink sink = new NotedSink();
            final long id = host.nextRequestId();
            host.subscribe(id, new NodeRequest.Open(id, "10.0.0.1:7000"), sink).join();
            assertEquals(sessions(host), "\"sessions\":0");
            assertTrue(
                    sink.offered.size() == 1 && sink.offered.get(0) instanceof Action.MoveSession,
                    sink.offered.toString());
        } finally {
            host.close();
        }
    }
}
