package brookpath.platform.line;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;

import brookpath.coordination.message.Response;
import brookpath.coordination.node.Cursor;
import brookpath.coordination.route.RouteFinder;
import brookpath.state.record.LogRecord;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The encoding of the line protocol messages that are sent to clients. */
public final class ServerMessagesTest {
    @Test
    public void eachMessageIsOneLine() {
        assertEquals(ServerMessages.PONG, "PONG\r\n");
        assertEquals(ServerMessages.HELLO_ACCEPTED, "OK HELLO\r\n");
        assertEquals(ServerMessages.subscribed("t.a", "c7"), "OK SUBSCRIBE t.a c7\r\n");
        assertEquals(ServerMessages.detached("t.a", new Response(200, 0, "{}")), "OK DETACH t.a\r\n");
        assertEquals(ServerMessages.audience("t.a", 3), "COUNT t.a 3\r\n");
        assertEquals(ServerMessages.accepted("t.a", "17"), "ACCEPTED t.a 17\r\n");
        assertEquals(ServerMessages.move("10.0.0.1:8022"), "MOVE 10.0.0.1:8022\r\n");
    }

    @Test
    public void missingFieldOfARefusalIsADash() {
        assertEquals(
                ServerMessages.refused("PUBLISH", "t.a", "17", RefusalReason.TOOLARGE),
                "REFUSED PUBLISH t.a 17 TOOLARGE\r\n");
        assertEquals(
                ServerMessages.refused("HELLO", "", "", RefusalReason.MALFORMED), "REFUSED HELLO - - MALFORMED\r\n");
    }

    /** Guards against OK to a DETACH that was refused, after which messages of the topic still arrive. */
    @Test
    public void detachThatAnOverloadedNodeHasRefusedIsNotAcknowledged() {
        assertEquals(
                ServerMessages.detached("t.a", new Response(503, 250, "{}", "busy")), "REFUSED DETACH t.a - BUSY\r\n");
    }

    @Test
    public void deliveryConsistsOfALineAndABody() {
        final LogRecord logRecord = LogRecord.of(
                9, 1, 1_000, LogRecord.PUBLISH, LogRecord.publishBody(4, 2, "tenant", "t.a", "ana", "river closed"), 0);
        final ByteBuf buffer = ServerMessages.delivery(logRecord, ByteBufAllocator.DEFAULT);
        assertEquals(
                buffer.toString(US_ASCII), "MESSAGE t.a " + Cursor.encodePosition(9) + " ana 4 12\r\nriver closed\r\n");
        buffer.release();
    }

    @DataProvider
    public Object[][] responses() {
        return new Object[][] {
            {401, "", RefusalReason.FORBIDDEN},
            {403, "", RefusalReason.FORBIDDEN},
            {403, RouteFinder.UNKNOWN_SPACE, RefusalReason.UNKNOWN},
            {404, "", RefusalReason.UNKNOWN},
            {409, "", RefusalReason.BUSY},
            {503, "", RefusalReason.BUSY},
            {410, "", RefusalReason.EXPIRED},
            {413, "", RefusalReason.TOOLARGE},
            {504, "", RefusalReason.UNCERTAIN},
            {400, "", RefusalReason.MALFORMED},
            {400, "cursor", RefusalReason.EXPIRED}
        };
    }

    @Test(dataProvider = "responses")
    public void eachResponseMapsToAReason(final int status, final String code, final RefusalReason reason) {
        assertEquals(RefusalReason.of(new Response(status, 0, "{}", code)), reason);
    }
}
