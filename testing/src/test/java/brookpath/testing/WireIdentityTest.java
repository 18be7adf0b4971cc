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

/** A session connects this process with one incarnation of the node that it dialled, and with no other process. */
public final class WireIdentityTest {
    private static final int TIMEOUT_S = 10;
    private static final long SHORT_REDIAL_MS = 100;
    private static final long NO_REDIAL_MS = TimeUnit.HOURS.toMillis(1);
    private static final long DEAD_PEER_TIMEOUT_MS = TimeUnit.HOURS.toMillis(1);

    private record Frame(int from, PeerMessage message) {}

    /** A process that records the messages and session events that it receives. */
    private static final class Endpoint implements Wire.Inbox, AutoCloseable {
        final LinkedBlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> up = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> lost = new LinkedBlockingQueue<>();
        final Wire wire;
        final String address;

        Endpoint(final int node, final long incarnation, final long redialMs) throws InterruptedException {
            wire = new Wire(new ProcessIdentity(node, incarnation, node), this, redialMs, DEAD_PEER_TIMEOUT_MS, 1);
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

    private final Set<Endpoint> endpoints = new HashSet<>();

    private Endpoint endpoint(final int node, final long incarnation, final long redialMs) throws InterruptedException {
        final Endpoint endpoint = new Endpoint(node, incarnation, redialMs);
        endpoints.add(endpoint);
        return endpoint;
    }

    @AfterMethod
    public void closeAll() {
        endpoints.forEach(Endpoint::close);
        endpoints.clear();
    }

    private static <T> T next(final LinkedBlockingQueue<T> queue) throws InterruptedException {
        return queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    public void aSessionWithAnotherNodeThanTheDialledOneIsClosed() throws Exception {
        final Endpoint one = endpoint(1, 11, SHORT_REDIAL_MS);
        final Endpoint three = endpoint(3, 33, SHORT_REDIAL_MS);
        one.wire.dial(2, three.address);
        assertEquals(next(three.lost), Integer.valueOf(1), "the session with the wrong node was kept");
        assertFalse(one.wire.send(2, new PeerMessage.TimeoutNow(1, 1)), "sent to another node than the addressed one");
        assertNull(one.up.poll());
        assertTrue(one.wire.wrongNodes() > 0);
        assertNull(three.frames.poll(), "a frame reached a node that it was not addressed to");
        final Endpoint two = endpoint(2, 22, SHORT_REDIAL_MS);
        one.wire.dial(2, two.address);
        assertEquals(next(one.up), Integer.valueOf(2));
        assertTrue(one.wire.send(2, new PeerMessage.TimeoutNow(1, 1)));
        assertNotNull(next(two.frames));
    }

    @Test
    public void aNewIncarnationEndsTheSessionsOfTheFormerOne() throws Exception {
        final Endpoint one = endpoint(1, 11, NO_REDIAL_MS);
        final Endpoint former = endpoint(2, 21, NO_REDIAL_MS);
        former.wire.dial(1, one.address);
        assertEquals(next(former.up), Integer.valueOf(1));
        assertTrue(former.wire.send(1, new PeerMessage.TimeoutNow(1, 1)));
        assertNotNull(next(one.frames));
        final Endpoint newer = endpoint(2, 22, NO_REDIAL_MS);
        newer.wire.dial(1, one.address);
        assertEquals(next(newer.up), Integer.valueOf(1));
        assertEquals(
                next(one.lost),
                Integer.valueOf(2),
                "the loss of the session with the former incarnation was not reported");
        assertEquals(next(former.lost), Integer.valueOf(1), "the former incarnation still has a session");
        assertFalse(former.wire.send(1, new PeerMessage.TimeoutNow(2, 2)));
        assertTrue(one.wire.send(2, new PeerMessage.TimeoutNow(3, 3)));
        assertEquals(next(newer.frames), new Frame(1, new PeerMessage.TimeoutNow(3, 3)));
        assertNull(former.frames.poll(), "a frame for the new incarnation reached the former one");
        assertNull(one.lost.poll(), "the end of the former incarnation's session was reported as that of the new one");
    }

    @Test
    public void aSessionThatDoesNotBeginWithAHelloIsClosed() throws Exception {
        final Endpoint one = endpoint(1, 11, SHORT_REDIAL_MS);
        final int port = Integer.parseInt(one.address.substring(one.address.indexOf(':') + 1));
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            final byte[] frame = new FrameCodec().encode(new PeerMessage.TimeoutNow(1, 1));
            final DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
            assertEquals(socket.getInputStream().read(), -1, "the session was kept");
        }
        assertEquals(one.wire.malformedFrames(), 1);
        assertNull(one.frames.poll());
    }

    @Test
    public void idsOfIncarnationsDoNotCollide() {
        final int incarnations = 1_000;
        final long idsPerIncarnation = 1L << 32;
        final Set<Long> ranges = new HashSet<>();
        for (int i = 0; i < incarnations; i++) {
            final long first = RandomNumbers.firstId();
            assertTrue(first >= 0 && first < Long.MAX_VALUE / 2, "IDs could overflow above " + first);
            assertTrue(ranges.add(first / idsPerIncarnation), "two incarnations start in the same range of IDs");
        }
    }
}
