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

/** One listening session's bounded queue, and the loop that writes it out. */
final class StreamedSession implements Host.Sink, StreamingOutput {
    private static final int QUEUE = 1024;
    private static final long POLL_MS = 200;

    private final Host host;
    private final long sessionId;
    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE);
    private volatile String closedWhy;

    StreamedSession(final Host host, final long sessionId) {
        this.host = host;
        this.sessionId = sessionId;
    }

    @Override
    public boolean offer(final Action.ToSession what) {
        return queue.offer(((Action.DeliverLine) what).line());
    }

    @Override
    public void close(final String why) {
        closedWhy = why;
    }

    @Override
    public void write(final OutputStream os) throws IOException {
        try {
            while (closedWhy == null) {
                final byte[] line = queue.poll(POLL_MS, MILLISECONDS);
                if (line == null) {
                    continue;
                }
                // why: asked line by line; after a long sleep the key may have been taken away, so nothing may go out
                while (!host.mayDeliver() && closedWhy == null) {
                    MILLISECONDS.sleep(POLL_MS / 10);
                }
                if (closedWhy == null) {
                    os.write(line);
                    if (queue.isEmpty()) {
                        os.flush();
                    }
                }
            }
            os.write((Json.createObjectBuilder()
                                    .add("type", "closed")
                                    .add("why", closedWhy)
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
