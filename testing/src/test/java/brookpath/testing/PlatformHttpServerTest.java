package brookpath.testing;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.platform.control.PlatformHttpServer;
import brookpath.platform.control.PlatformRequest;
import brookpath.platform.control.PlatformResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/** Responses on a connection are sent in the order of its requests, whichever the handler completes first. */
public final class PlatformHttpServerTest {
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    private static final int MAX_BODY_BYTES = PlatformHttpServer.MAX_BODY_BYTES;

    /** Leaves requests pending until the test completes them. */
    private static final class ManualHandler implements PlatformHttpServer.RequestHandler {
        final List<PlatformRequest> requests = new ArrayList<>();
        final List<CompletableFuture<PlatformResponse>> responses = new ArrayList<>();

        @Override
        public CompletableFuture<PlatformResponse> handle(final PlatformRequest request) {
            requests.add(request);
            responses.add(new CompletableFuture<>());
            return responses.get(responses.size() - 1);
        }

        void respond(final int request, final int status) {
            responses.get(request).complete(PlatformResponse.of(status));
        }
    }

    private static EmbeddedChannel connect(final ManualHandler handler) {
        final EmbeddedChannel channel = new EmbeddedChannel();
        PlatformHttpServer.install(channel.pipeline(), handler);
        return channel;
    }

    private static String get(final String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private static void send(final EmbeddedChannel channel, final String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
    }

    private static List<Integer> statuses(final EmbeddedChannel channel) {
        channel.runPendingTasks();
        final StringBuilder text = new StringBuilder();
        for (ByteBuf buf = channel.readOutbound(); buf != null; buf = channel.readOutbound()) {
            text.append(buf.toString(US_ASCII));
            buf.release();
        }
        final List<Integer> statuses = new ArrayList<>();
        final Matcher matcher = STATUS.matcher(text);
        while (matcher.find()) {
            statuses.add(Integer.valueOf(matcher.group(1)));
        }
        return statuses;
    }

    @Test
    public void responsesAreSentInTheOrderOfTheRequests() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(channel, get("/1") + get("/2") + get("/3"));
        assertEquals(handler.requests.size(), 3);
        handler.respond(2, 203);
        handler.respond(1, 202);
        assertEquals(statuses(channel), List.of(), "a response overtook that to an earlier request");
        handler.respond(0, 201);
        assertEquals(statuses(channel), List.of(201, 202, 203));
    }

    @Test
    public void requestsBeyondTheLimitWaitUntilOthersCompleted() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        final int requests = 3 * PlatformHttpServer.MAX_PENDING;
        for (int i = 0; i < requests; i++) {
            send(channel, get("/" + i));
        }
        assertEquals(handler.requests.size(), PlatformHttpServer.MAX_PENDING);
        assertFalse(channel.config().isAutoRead(), "the connection is still being read");
        final List<Integer> received = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            handler.respond(i, 200 + i);
            received.addAll(statuses(channel));
        }
        assertTrue(channel.config().isAutoRead());
        assertEquals(received.size(), requests);
        for (int i = 0; i < requests; i++) {
            assertEquals(received.get(i).intValue(), 200 + i);
        }
    }

    @Test
    public void oversizedBodyIsRejectedAfterTheResponsesToEarlierRequests() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        final String body = "b".repeat(MAX_BODY_BYTES + 1);
        send(channel, get("/1"));
        send(channel, "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        send(channel, get("/3"));
        assertEquals(statuses(channel), List.of(), "the rejection overtook the response to an earlier request");
        handler.respond(0, 201);
        handler.respond(1, 203);
        assertEquals(statuses(channel), List.of(201, 413, 203));
        assertEquals(handler.requests.get(1).path(), "/3");
    }

    @Test
    public void malformedRequestIsRejectedInOrderAndClosesTheConnection() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(channel, get("/1") + "GET /2 HTTP/1.1\r\nHost: x\r\nContent-Length: nonsense\r\n\r\n" + get("/3"));
        assertEquals(statuses(channel), List.of());
        handler.respond(0, 201);
        assertEquals(statuses(channel), List.of(201, 400));
        assertFalse(channel.isOpen(), "the connection stays open after a malformed request");
        assertEquals(handler.requests.size(), 1);
    }

    @Test
    public void continueIsSentAfterTheResponsesToEarlierRequests() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(channel, get("/1"));
        send(channel, "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(statuses(channel), List.of(), "100 Continue overtook the response to an earlier request");
        handler.respond(0, 201);
        assertEquals(statuses(channel), List.of(201, 100));
        send(channel, "body");
        assertEquals(handler.requests.get(1).body().length, 4);
        handler.respond(1, 202);
        assertEquals(statuses(channel), List.of(202));
    }

    @Test
    public void announcedBodyThatIsTooLargeIsRejectedBeforeItIsSent() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(
                channel,
                "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: " + (MAX_BODY_BYTES + 1)
                        + "\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(statuses(channel), List.of(413));
        assertFalse(channel.isOpen());
        assertEquals(handler.requests.size(), 0);
    }

    @Test
    public void nothingFollowsTheLastResponseBeforeTheConnectionCloses() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(channel, "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get("/2"));
        assertEquals(handler.requests.size(), 1, "a request after the last one was handled");
        handler.respond(0, 201);
        assertEquals(statuses(channel), List.of(201));
        assertFalse(channel.isOpen());
    }

    @Test
    public void responseToAClosedConnectionIsDropped() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel old = connect(handler);
        send(old, get("/1") + get("/2"));
        old.close();
        old.runPendingTasks();
        final EmbeddedChannel next = connect(handler);
        send(next, get("/3"));
        handler.respond(1, 202);
        handler.respond(0, 201);
        assertEquals(statuses(old), List.of());
        assertEquals(statuses(next), List.of(), "the response to a request of another connection");
        handler.respond(2, 203);
        assertEquals(statuses(next), List.of(203));
        assertFalse(old.finishAndReleaseAll(), "something was left on the closed connection");
    }

    @Test
    public void handlerFailureIsReportedInOrder() {
        final ManualHandler handler = new ManualHandler();
        final EmbeddedChannel channel = connect(handler);
        send(channel, get("/1") + get("/2"));
        handler.responses.get(1).completeExceptionally(new IllegalStateException("no"));
        handler.respond(0, 201);
        assertEquals(statuses(channel), List.of(201, 500));
    }
}
