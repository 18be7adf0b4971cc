import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client of the line protocol; a daemon thread reads what arrives and sends PING when it is due. */
final class Client implements AutoCloseable {
    interface Listener {
        /** @param words the words of the line; @param body the body of a MESSAGE, else null */
        void received(String[] words, byte[] body);
    }

    private static final int PING_INTERVAL_MS = 1_800;

    final Socket socket;
    private final OutputStream out;
    private volatile long lastSent = System.nanoTime();
    volatile boolean closed;

    /** Connects to the host:port. */
    Client(final String address, final Listener listener) throws IOException {
        socket = Cluster.connect(address);
        out = new BufferedOutputStream(socket.getOutputStream(), 32 << 10);
        final InputStream in = new BufferedInputStream(socket.getInputStream(), 32 << 10);
        Cluster.daemon(() -> {
            try {
                read(in, listener);
            } finally {
                closed = true;
                socket.close();
            }
        });
        Cluster.daemon(() -> {
            while (!closed) {
                Thread.sleep(200);
                if (System.nanoTime() - lastSent > PING_INTERVAL_MS * 1_000_000L) {
                    send("PING");
                }
            }
        });
    }

    private static void read(final InputStream in, final Listener listener) throws IOException {
        for (String line = readLine(in); line != null; line = readLine(in)) {
            final String[] words = line.split(" ");
            byte[] body = null;
            if (words[0].equals("MESSAGE")) {
                body = in.readNBytes(Integer.parseInt(words[words.length - 1]));
                in.readNBytes(2);
            }
            listener.received(words, body);
        }
    }

    private static String readLine(final InputStream in) throws IOException {
        final ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                final String text = line.toString(StandardCharsets.US_ASCII);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    /** Sends one line. */
    void send(final String line) throws IOException {
        write(line + "\r\n");
    }

    /** Sends a PUBLISH with its body. */
    void publish(final String topic, final long sequence, final String body) throws IOException {
        write("PUBLISH " + topic + " " + sequence + " " + body.length() + "\r\n" + body + "\r\n");
    }

    private synchronized void write(final String text) throws IOException {
        lastSent = System.nanoTime();
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Resets the connection. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
