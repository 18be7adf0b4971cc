package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.PeerMessage;
import brookpath.protocol.frame.FrameCodec;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.identity.RandomNumbers;
import brookpath.transport.wire.Wire;
import java.io.DataOutputStream;
import java.net.Socket;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** A session is with one life of the one node that was meant, and with nobody else. */
public final class WireIdentityTest {
    private static final int PATIENCE_S = 10;
    private static final long REDIAL_SOON_MS = 100;
    private static final long REDIAL_NEVER_MS = TimeUnit.HOURS.toMillis(1);
    private static final long DEAD_MS = TimeUnit.HOURS.toMillis(1);

    private record Frame(int from, PeerMessage message) {}

    /** One process's end: what it hears. */
    private static final class End implements Wire.Inbox, AutoCloseable {
        final LinkedBlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> up = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> lost = new LinkedBlockingQueue<>();
        final Wire wire;
        final String address;

        End(final int node, final long life, final long redialMs) throws InterruptedException {
            wire = new Wire(new ProcessIdentity(node, life, node), this, redialMs, DEAD_MS, 1);
            address = "127.0.0.1:" + wire.listen("127.0.0.1", 0);
        }

        @Override
        public void frame(final int from, final PeerMessage message) {
            frames.add(new Frame(from, message));
        }

        @Override
        public void connectionLost(final int node) {
            lost.add(node);
        }

        @Override
        public void sessionUp(final int node) {
            up.add(node);
        }

        @Override
        public void close() {
            wire.close();
        }
    }

    private final Set<End> ends = new HashSet<>();

    private End end(final int node, final long life, final long redialMs) throws InterruptedException {
        final End end = new End(node, life, redialMs);
        ends.add(end);
        return end;
    }

    @AfterMethod
    public void closeAll() {
        ends.forEach(End::close);
        ends.clear();
    }

    private static <T> T next(final LinkedBlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(PATIENCE_S, TimeUnit.SECONDS);
    }

    @Test
    public void aDiallerHangsUpOnAnotherNodeThanItMeant() throws Exception {
        final End one = end(1, 11, REDIAL_SOON_MS);
        final End three = end(3, 33, REDIAL_SOON_MS);
        one.wire.dial(2, three.address);
        assertEquals(next(three.lost), Integer.valueOf(1), "the session with the wrong node was kept");
        assertFalse(one.wire.send(2, new PeerMessage.TimeoutNow(1, 1)), "sent to whoever was there");
        assertNull(one.up.poll());
        assertTrue(one.wire.wrongNodes() > 0);
        assertNull(three.frames.poll(), "a frame reached a node that it was not meant for");
        final End two = end(2, 22, REDIAL_SOON_MS);
        one.wire.dial(2, two.address);
        assertEquals(next(one.up), Integer.valueOf(2));
        assertTrue(one.wire.send(2, new PeerMessage.TimeoutNow(1, 1)));
        assertNotNull(next(two.frames));
    }

    @Test
    public void aNewLifeEndsTheSessionsOfTheFormerOne() throws Exception {
        final End one = end(1, 11, REDIAL_NEVER_MS);
        final End former = end(2, 21, REDIAL_NEVER_MS);
        former.wire.dial(1, one.address);
        assertEquals(next(former.up), Integer.valueOf(1));
        assertTrue(former.wire.send(1, new PeerMessage.TimeoutNow(1, 1)));
        assertNotNull(next(one.frames));
        final End newer = end(2, 22, REDIAL_NEVER_MS);
        newer.wire.dial(1, one.address);
        assertEquals(next(newer.up), Integer.valueOf(1));
        assertEquals(next(one.lost), Integer.valueOf(2), "what was under way with the former life is in doubt");
        assertEquals(next(former.lost), Integer.valueOf(1), "the former life still has a session");
        assertFalse(former.wire.send(1, new PeerMessage.TimeoutNow(2, 2)));
        assertTrue(one.wire.send(2, new PeerMessage.TimeoutNow(3, 3)));
        assertEquals(next(newer.frames), new Frame(1, new PeerMessage.TimeoutNow(3, 3)));
        assertNull(former.frames.poll(), "a frame for the new life reached the former one");
        assertNull(one.lost.poll(), "the end of the former life's session was told as that of the new one's");
    }

    @Test
    public void aSessionThatDoesNotBeginWithAHelloIsEnded() throws Exception {
        final End one = end(1, 11, REDIAL_SOON_MS);
        final int port = Integer.parseInt(one.address.substring(one.address.indexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
            final byte[] frame = new FrameCodec().encode(new PeerMessage.TimeoutNow(1, 1));
            final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
            assertEquals(socket.getInputStream().read(), -1, "the session was kept");
        }
        assertEquals(one.wire.malformed(), 1);
        assertNull(one.frames.poll());
    }

    @Test
    public void livesDrawIdsThatDoNotMeetWhateverTheClockSays() {
        final int lives = 1_000;
        final long idsOfALife = 1L << 32;
        final Set<Long> ranges = new HashSet<>();
        for (int i = 0; i < lives; i++) {
            final long first = RandomNumbers.firstId();
            assertTrue(first >= 0 && first < Long.MAX_VALUE / 2, "no room for rising IDs above " + first);
            assertTrue(ranges.add(first / idsOfALife), "two lives begin in one range of IDs");
        }
    }
}
