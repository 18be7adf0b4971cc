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

/** Each answer on a connection belongs to the call that stands at its place, whatever is done first. */
public final class PlatformHttpServerTest {
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})");
    private static final int MAX_BODY_BYTES = PlatformHttpServer.MAX_BODY_BYTES;

    /** Answers nothing by itself: the test completes each call when it likes. */
    private static final class SlowHandler implements PlatformHttpServer.RequestHandler {
        final List<PlatformRequest> calls = new ArrayList<>();
        final List<CompletableFuture<PlatformResponse>> answers = new ArrayList<>();

        @Override
        public CompletableFuture<PlatformResponse> handle(final PlatformRequest call) {
            calls.add(call);
            answers.add(new CompletableFuture<>());
            return answers.get(answers.size() - 1);
        }

        void answer(final int call, final int status) {
            answers.get(call).complete(PlatformResponse.of(status));
        }
    }

    private static EmbeddedChannel connect(final SlowHandler dispatcher) {
        final EmbeddedChannel channel = new EmbeddedChannel();
        PlatformHttpServer.install(channel.pipeline(), dispatcher);
        return channel;
    }

    private static String get(final String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n";
    }

    private static void say(final EmbeddedChannel channel, final String text) {
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
    public void answersLeaveInTheOrderOfTheCalls() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(ch, get("/1") + get("/2") + get("/3"));
        assertEquals(slow.calls.size(), 3);
        slow.answer(2, 203);
        slow.answer(1, 202);
        assertEquals(statuses(ch), List.of(), "an answer overtook that of an earlier call");
        slow.answer(0, 201);
        assertEquals(statuses(ch), List.of(201, 202, 203));
    }

    @Test
    public void callsBeyondTheBoundAreNotTakenUntilOthersAreAnswered() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        final int calls = 3 * PlatformHttpServer.MAX_PENDING;
        for (int i = 0; i < calls; i++) {
            say(ch, get("/" + i));
        }
        assertEquals(slow.calls.size(), PlatformHttpServer.MAX_PENDING);
        assertFalse(ch.config().isAutoRead(), "the connection is still read");
        final List<Integer> heard = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            slow.answer(i, 200 + i);
            heard.addAll(statuses(ch));
        }
        assertTrue(ch.config().isAutoRead());
        assertEquals(heard.size(), calls);
        for (int i = 0; i < calls; i++) {
            assertEquals(heard.get(i).intValue(), 200 + i);
        }
    }

    @Test
    public void anOversizedBodyIsRefusedAfterTheAnswersOfEarlierCalls() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        final String body = "b".repeat(MAX_BODY_BYTES + 1);
        say(ch, get("/1"));
        say(ch, "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        say(ch, get("/3"));
        assertEquals(statuses(ch), List.of(), "the refusal overtook the answer of an earlier call");
        slow.answer(0, 201);
        slow.answer(1, 203);
        assertEquals(statuses(ch), List.of(201, 413, 203));
        assertEquals(slow.calls.get(1).path(), "/3");
    }

    @Test
    public void aCallThatCannotBeReadIsRefusedInItsTurnAndEndsTheConnection() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(ch, get("/1") + "GET /2 HTTP/1.1\r\nHost: x\r\nContent-Length: nonsense\r\n\r\n" + get("/3"));
        assertEquals(statuses(ch), List.of());
        slow.answer(0, 201);
        assertEquals(statuses(ch), List.of(201, 400));
        assertFalse(ch.isOpen(), "what follows a call that cannot be read cannot be trusted");
        assertEquals(slow.calls.size(), 1);
    }

    @Test
    public void goOnIsSaidAfterTheAnswersOfEarlierCalls() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(ch, get("/1"));
        say(ch, "POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(statuses(ch), List.of(), "said amid the earlier call");
        slow.answer(0, 201);
        assertEquals(statuses(ch), List.of(201, 100));
        say(ch, "body");
        assertEquals(slow.calls.get(1).body().length, 4);
        slow.answer(1, 202);
        assertEquals(statuses(ch), List.of(202));
    }

    @Test
    public void anExpectedBodyThatIsTooLargeIsRefusedBeforeItIsSent() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(
                ch,
                "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: " + (MAX_BODY_BYTES + 1)
                        + "\r\nExpect: 100-continue\r\n\r\n");
        assertEquals(statuses(ch), List.of(413));
        assertFalse(ch.isOpen());
        assertEquals(slow.calls.size(), 0);
    }

    @Test
    public void nothingFollowsTheAnswerAfterWhichTheConnectionCloses() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(ch, "GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get("/2"));
        assertEquals(slow.calls.size(), 1, "a call after the last one was taken");
        slow.answer(0, 201);
        assertEquals(statuses(ch), List.of(201));
        assertFalse(ch.isOpen());
    }

    @Test
    public void anAnswerToAConnectionThatIsGoneGoesNowhere() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel old = connect(slow);
        say(old, get("/1") + get("/2"));
        old.close();
        old.runPendingTasks();
        final EmbeddedChannel next = connect(slow);
        say(next, get("/3"));
        slow.answer(1, 202);
        slow.answer(0, 201);
        assertEquals(statuses(old), List.of());
        assertEquals(statuses(next), List.of(), "the answer of another connection's call");
        slow.answer(2, 203);
        assertEquals(statuses(next), List.of(203));
        assertFalse(old.finishAndReleaseAll(), "something was left on the closed connection");
    }

    @Test
    public void aFailureIsAnsweredInItsTurn() {
        final SlowHandler slow = new SlowHandler();
        final EmbeddedChannel ch = connect(slow);
        say(ch, get("/1") + get("/2"));
        slow.answers.get(1).completeExceptionally(new IllegalStateException("no"));
        slow.answer(0, 201);
        assertEquals(statuses(ch), List.of(201, 500));
    }
}
