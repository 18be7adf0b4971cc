package brookpath.transport.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.MILLISECONDS;

import brookpath.coordination.action.Action;
import brookpath.transport.loop.Host;
import jakarta.json.Json;
import jakarta.ws.rs.core.StreamingOutput;
import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

/** The bounded queue of one listening session, and the loop that writes its lines to the caller on a traffic thread. */
final class StreamedSession implements Host.Sink, StreamingOutput {
    private static final int QUEUE_CAPACITY = 1024;
    private static final long POLL_MS = 200;
    private static final long LEASE_POLL_MS = 20;

    private final Host host;
    private final long sessionId;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private volatile String closeReason;

    StreamedSession(final Host host, final long sessionId) {
        this.host = host;
        this.sessionId = sessionId;
    }

    @Override
    public boolean offer(final Action.ToSession delivery) {
        return queue.offer(((Action.DeliverLine) delivery).line());
    }

    @Override
    public void close(final String reason) {
        closeReason = reason;
    }

    @Override
    public void write(final OutputStream os) throws IOException {
        try {
            while (closeReason == null) {
                final byte[] line = queue.poll(POLL_MS, MILLISECONDS);
                if (line == null) {
                    continue;
                }
                // Checked before each line: after a long pause of the process the API key may have been revoked, so
                // nothing may be sent until the lease is renewed.
                while (!host.mayDeliver() && closeReason == null) {
                    MILLISECONDS.sleep(LEASE_POLL_MS);
                }
                if (closeReason == null) {
                    os.write(line);
                    if (queue.isEmpty()) {
                        os.flush();
                    }
                }
            }
            os.write((Json.createObjectBuilder()
                                    .add("type", "closed")
                                    .add("why", closeReason)
                                    .build() + "\n")
                    .getBytes(UTF_8));
            os.flush();
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        } finally {
            host.unsubscribe(sessionId);
        }
    }
}
