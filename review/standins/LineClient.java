import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client, as the page on the protocol describes it. Reads on a thread of its own. */
final class LineClient implements AutoCloseable {
    /** What a client hears; called on the reading thread. */
    interface Listener {
        /**
         * A message from the gateway.
         *
         * @param words the words of the line
         * @param body the body of a MESSAGE, otherwise null
         */
        void heard(LineClient client, String[] words, String body);

        /** The connection has ended. */
        default void ended(final LineClient client) {}
    }

    final String name;
    private final Socket socket;
    private final Listener listener;
    volatile boolean closed;
    volatile long heardAt = System.nanoTime();
    private volatile long saidAt = System.nanoTime();

    LineClient(final String name, final String ip, final int port, final Listener listener) throws IOException {
        this.name = name;
        this.listener = listener;
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 1_000);
        final Thread reader = new Thread(null, this::read, "client-" + name, 256 << 10);
        reader.setDaemon(true);
        reader.start();
    }

    void send(final String text) throws IOException {
        saidAt = System.nanoTime();
        final byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        synchronized (socket) {
            socket.getOutputStream().write(bytes);
        }
    }

    void hello(final String key) throws IOException {
        send("HELLO " + name + " " + key + "\r\n");
    }

    void subscribe(final String topic, final String cursor) throws IOException {
        send("SUBSCRIBE " + topic + (cursor == null ? "" : " " + cursor) + "\r\n");
    }

    void publish(final String topic, final long sequence, final String body) throws IOException {
        send("PUBLISH " + topic + " " + sequence + " " + body.length() + "\r\n" + body + "\r\n");
    }

    /** Sends a PING if nothing was said for the interval. */
    void pingIfDue(final long intervalMs) throws IOException {
        if (System.nanoTime() - saidAt > intervalMs * 1_000_000) {
            send("PING\r\n");
        }
    }

    private void read() {
        try (InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16)) {
            while (true) {
                final String[] words = line(in).split(" ");
                heardAt = System.nanoTime();
                if (words[0].equals("MESSAGE")) {
                    final byte[] body = in.readNBytes(Integer.parseInt(words[5]) + 2);
                    listener.heard(this, words, new String(body, 0, body.length - 2, StandardCharsets.US_ASCII));
                } else {
                    listener.heard(this, words, null);
                }
            }
        } catch (final IOException | RuntimeException ex) {
            closed = true;
            listener.ended(this);
        }
    }

    private static String line(final InputStream in) throws IOException {
        final StringBuilder text = new StringBuilder();
        while (true) {
            final int c = in.read();
            if (c < 0) {
                throw new IOException("end of stream");
            }
            if (c == '\n') {
                return text.substring(0, text.length() - 1);
            }
            text.append((char) c);
        }
    }

    /** Resets the connection, as a failing network does. */
    void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (final IOException ex) {
            // already closed
        }
        close();
    }

    @Override
    public void close() {
        closed = true;
        try {
            socket.close();
        } catch (final IOException ex) {
            // already closed
        }
    }
}
