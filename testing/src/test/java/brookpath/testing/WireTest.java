package brookpath.testing;

import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.PeerMessage;
import brookpath.transport.identity.ProcessIdentity;
import brookpath.transport.wire.Wire;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Two nodes that dial each other have two sessions, and each sends on the one that it dialled. Guards against a peer
 * being considered dead because its answers arrive on the other session.
 */
public final class WireTest {
    private static final class RecordingInbox implements Wire.Inbox {
        final LinkedBlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
        final LinkedBlockingQueue<Integer> up = new LinkedBlockingQueue<>();

        @Override
        public void frame(final int from, final PeerMessage message) {
            received.add(message);
        }

        @Override
        public void connectionLost(final int node) {
            // Not recorded: a lost session makes one of the sends below fail.
        }

        @Override
        public void sessionUp(final int node) {
            up.add(node);
        }
    }

    @Test
    public void answersOnTheOtherSessionKeepAPeerAlive() throws Exception {
        final RecordingInbox one = new RecordingInbox();
        final RecordingInbox two = new RecordingInbox();
        // With this dead-peer timeout, a node that ignores answers on the other session considers the peer dead at the
        // second message.
        final Wire a = new Wire(new ProcessIdentity(1, 11, 111), one, 100, -1, 1);
        final Wire b = new Wire(new ProcessIdentity(2, 22, 222), two, 100, -1, 1);
        try {
            final int portA = a.listen("127.0.0.1", 0);
            final int portB = b.listen("127.0.0.1", 0);
            a.dial(2, "127.0.0.1:" + portB);
            b.dial(1, "127.0.0.1:" + portA);
            assertTrue(
                    one.up.poll(10, TimeUnit.SECONDS) != null && two.up.poll(10, TimeUnit.SECONDS) != null,
                    "no sessions");
            for (int i = 0; i < 20; i++) {
                assertTrue(a.send(2, new PeerMessage.TimeoutNow(i, i)), "message " + i + " was not sent");
                assertTrue(two.received.poll(10, TimeUnit.SECONDS) != null, "message " + i + " did not arrive");
                assertTrue(b.send(1, new PeerMessage.TimeoutNow(i, i)), "answer " + i + " was not sent");
                assertTrue(one.received.poll(10, TimeUnit.SECONDS) != null, "answer " + i + " did not arrive");
            }
        } finally {
            a.close();
            b.close();
        }
    }
}
