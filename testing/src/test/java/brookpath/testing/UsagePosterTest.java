package brookpath.testing;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.action.Action;
import brookpath.coordination.node.usage.PostOutcome;
import brookpath.platform.control.UsagePoster;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** How a call to the platform may end, and what is known then. */
public final class UsagePosterTest {
    private static final long DEADLINE_MS = 1_000;
    private static final String ADDRESS = "10.0.0.9:80";
    private static final Action.Post REPORT = new Action.Post(
            5,
            "3",
            "{\"reporter\":1,\"epoch\":12,\"windowStartMs\":15000,\"windowEndMs\":20000,\"tenants\":["
                    + "{\"tenant\":\"t\",\"publishes\":4,\"bytes\":9,\"late\":false},"
                    + "{\"tenant\":\"\",\"publishes\":1,\"bytes\":2,\"late\":false}]}");

    private final UsagePoster poster = new UsagePoster("front-1", ADDRESS, DEADLINE_MS, () -> null);

    /** One call, to a platform that the test plays. */
    private final class Played {
        final CompletableFuture<PostOutcome> outcome = new CompletableFuture<>();
        final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(final Channel ch) {
                poster.install(ch.pipeline(), REPORT, ADDRESS, outcome);
            }
        });

        String heard() {
            final StringBuilder text = new StringBuilder();
            for (ByteBuf buf = channel.readOutbound(); buf != null; buf = channel.readOutbound()) {
                text.append(buf.toString(US_ASCII));
                buf.release();
            }
            return text.toString();
        }

        void answer(final String text) {
            channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
            channel.runPendingTasks();
        }

        void ends(final PostOutcome how) {
            assertTrue(outcome.isDone(), "its end is not told");
            assertEquals(outcome.join(), how);
            assertFalse(channel.isOpen(), "the connection outlives the call");
        }
    }

    @DataProvider
    public static Object[][] answers() {
        return new Object[][] {
            {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", PostOutcome.ACCEPTED},
            {"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}", PostOutcome.FENCED},
            {"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n", PostOutcome.THROTTLED},
            {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", PostOutcome.FAILED},
            {"HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n", PostOutcome.FAILED},
            {"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", PostOutcome.ACCEPTED},
            {"nonsense\r\n\r\n", PostOutcome.UNKNOWN},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", PostOutcome.UNKNOWN},
        };
    }

    @Test(dataProvider = "answers")
    public void anAnswerSaysHowItEnded(final String answer, final PostOutcome outcome) {
        final Played call = new Played();
        call.heard();
        call.answer(answer);
        call.ends(outcome);
    }

    @Test
    public void afterSilenceItsEndIsUnknownAndNoLateAnswerIsTaken() {
        final Played call = new Played();
        call.heard();
        call.channel.advanceTimeBy(DEADLINE_MS + 1, TimeUnit.MILLISECONDS);
        call.channel.runScheduledPendingTasks();
        call.ends(PostOutcome.UNKNOWN);
        final Played next = new Played();
        assertFalse(next.outcome.isDone(), "the next call ended with the earlier one");
        next.answer("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        next.ends(PostOutcome.FAILED);
        assertEquals(call.outcome.join(), PostOutcome.UNKNOWN);
    }

    @Test
    public void aResetAmidTheAnswerLeavesItsEndUnknown() {
        final Played call = new Played();
        call.heard();
        call.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"a");
        assertFalse(call.outcome.isDone());
        call.channel.close();
        call.channel.runPendingTasks();
        call.ends(PostOutcome.UNKNOWN);
    }

    @Test
    public void onlyTheFirstAnswerCounts() {
        final Played call = new Played();
        call.heard();
        call.answer("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        call.ends(PostOutcome.FAILED);
    }

    @Test
    public void aRepeatIsExact() {
        final String first = new Played().heard();
        assertEquals(new Played().heard(), first);
        assertTrue(first.startsWith("POST /usage HTTP/1.1\r\n"), first);
        assertTrue(first.contains("X-Brookpath-Fence-Number: 12\r\n"), first);
        assertTrue(first.contains("X-Brookpath-Duty-Holder: front-1\r\n"), first);
        assertTrue(first.endsWith("{\"WindowNumber\":3,\"InstanceCounts\":{\"t\":4}}"), first);
    }
}
