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

/** The outcome of a usage report to the platform, for each way in which the request can end. */
public final class UsagePosterTest {
    private static final long TIMEOUT_MS = 1_000;
    private static final String ADDRESS = "10.0.0.9:80";
    private static final Action.Post REPORT = new Action.Post(
            5,
            "3",
            "{\"reporter\":1,\"epoch\":12,\"windowStartMs\":15000,\"windowEndMs\":20000,\"tenants\":["
                    + "{\"tenant\":\"t\",\"publishes\":4,\"bytes\":9,\"late\":false},"
                    + "{\"tenant\":\"\",\"publishes\":1,\"bytes\":2,\"late\":false}]}");

    private final UsagePoster poster = new UsagePoster("front-1", ADDRESS, TIMEOUT_MS, () -> null);

    /** One usage report; the test plays the platform. */
    private final class ReportRequest {
        final CompletableFuture<PostOutcome> outcome = new CompletableFuture<>();
        final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(final Channel newChannel) {
                poster.install(newChannel.pipeline(), REPORT, ADDRESS, outcome);
            }
        });

        String sentText() {
            final StringBuilder text = new StringBuilder();
            for (ByteBuf buf = channel.readOutbound(); buf != null; buf = channel.readOutbound()) {
                text.append(buf.toString(US_ASCII));
                buf.release();
            }
            return text.toString();
        }

        void respond(final String text) {
            channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
            channel.runPendingTasks();
        }

        void assertEndedWith(final PostOutcome expected) {
            assertTrue(outcome.isDone(), "the report has no outcome yet");
            assertEquals(outcome.join(), expected);
            assertFalse(channel.isOpen(), "the connection stays open after the report");
        }
    }

    @DataProvider
    public static Object[][] responses() {
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

    @Test(dataProvider = "responses")
    public void responseDeterminesTheOutcome(final String response, final PostOutcome outcome) {
        final ReportRequest report = new ReportRequest();
        report.sentText();
        report.respond(response);
        report.assertEndedWith(outcome);
    }

    @Test
    public void outcomeAfterATimeoutIsUnknownAndALateResponseIsIgnored() {
        final ReportRequest report = new ReportRequest();
        report.sentText();
        report.channel.advanceTimeBy(TIMEOUT_MS + 1, TimeUnit.MILLISECONDS);
        report.channel.runScheduledPendingTasks();
        report.assertEndedWith(PostOutcome.UNKNOWN);
        final ReportRequest next = new ReportRequest();
        assertFalse(next.outcome.isDone(), "the next report ended with the earlier one");
        next.respond("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
        next.assertEndedWith(PostOutcome.FAILED);
        assertEquals(report.outcome.join(), PostOutcome.UNKNOWN);
    }

    @Test
    public void disconnectDuringTheResponseLeavesTheOutcomeUnknown() {
        final ReportRequest report = new ReportRequest();
        report.sentText();
        report.respond("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{\"a");
        assertFalse(report.outcome.isDone());
        report.channel.close();
        report.channel.runPendingTasks();
        report.assertEndedWith(PostOutcome.UNKNOWN);
    }

    @Test
    public void onlyTheFirstResponseCounts() {
        final ReportRequest report = new ReportRequest();
        report.sentText();
        report.respond("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        report.assertEndedWith(PostOutcome.FAILED);
    }

    @Test
    public void repeatedReportIsIdentical() {
        final String first = new ReportRequest().sentText();
        assertEquals(new ReportRequest().sentText(), first);
        assertTrue(first.startsWith("POST /usage HTTP/1.1\r\n"), first);
        assertTrue(first.contains("X-Brookpath-Fence-Number: 12\r\n"), first);
        assertTrue(first.contains("X-Brookpath-Duty-Holder: front-1\r\n"), first);
        assertTrue(first.endsWith("{\"WindowNumber\":3,\"InstanceCounts\":{\"t\":4}}"), first);
    }
}
