package brookpath.platform.line;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** Compares decoded messages with those that were sent, whatever the boundaries of the reads. */
public final class LineDecoderTest {
    private static String text(final ClientMessage m) {
        return String.join(" ", m.words()) + "|" + m.body() + "|" + m.rejection();
    }

    private static List<String> read(final EmbeddedChannel channel) {
        final List<String> decoded = new ArrayList<>();
        for (ClientMessage m = channel.readInbound(); m != null; m = channel.readInbound()) {
            decoded.add(text(m));
        }
        return decoded;
    }

    /** Random messages as a client sends them, with the expected decoded messages. */
    private static final class RandomMessages {
        final SplittableRandom random;
        final StringBuilder sent = new StringBuilder();
        final List<String> expected = new ArrayList<>();

        RandomMessages(final SplittableRandom random, final int count) {
            this.random = random;
            for (int i = 0; i < count; i++) {
                if (random.nextBoolean()) {
                    addPublish(i);
                } else {
                    sent.append("SUBSCRIBE t.").append(i).append(" c").append(i).append("\r\n");
                    expected.add("SUBSCRIBE t." + i + " c" + i + "|null|null");
                }
            }
        }

        private void addPublish(final int i) {
            final int length = switch (random.nextInt(5)) {
                case 0 -> random.nextInt(20);
                case 1 -> LineDecoder.MAX_BODY_BYTES + 1 + random.nextInt(50);
                default -> 20 + random.nextInt(300);
            };
            final boolean unprintable = random.nextInt(6) == 0 && length > 0;
            final String body = "b".repeat(Math.max(0, length - 1)) + (length == 0 ? "" : unprintable ? "\u0007" : "e");
            final String line = "PUBLISH t." + i + " " + i + " " + length;
            sent.append(line).append("\r\n").append(body).append("\r\n");
            final String rejection = length > LineDecoder.MAX_BODY_BYTES
                    ? "TOOLARGE"
                    : length < LineDecoder.MIN_BODY_BYTES || unprintable ? "MALFORMED" : null;
            expected.add(line + "|" + (rejection == null ? body : null) + "|" + rejection);
        }
    }

    @Test
    public void messagesDoNotDependOnHowTheBytesAreSplit() {
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final RandomMessages messages = new RandomMessages(random, 20);
            final EmbeddedChannel channel = new EmbeddedChannel(new LineDecoder());
            final byte[] bytes = messages.sent.toString().getBytes(US_ASCII);
            for (int offset = 0; offset < bytes.length; ) {
                final int n = Math.min(bytes.length - offset, 1 + random.nextInt(700));
                channel.writeInbound(Unpooled.copiedBuffer(bytes, offset, n));
                offset += n;
            }
            assertEquals(read(channel), messages.expected, "seed " + seed);
            assertTrue(channel.isActive(), "seed " + seed);
        }
    }

    @Test
    public void unknownMessageBoundaryClosesTheConnection() {
        for (final String malformed : new String[] {
            "PUBLISH t 1 x\r\n",
            "PUBLISH t 1\r\n",
            "PUBLISH t 1 99999999\r\n",
            "x".repeat(5_000),
            "PUBLISH t 1 20\r\n" + "b".repeat(25)
        }) {
            final EmbeddedChannel channel = new EmbeddedChannel(new LineDecoder());
            channel.writeInbound(Unpooled.copiedBuffer(malformed, US_ASCII));
            assertFalse(channel.isActive(), malformed.substring(0, Math.min(30, malformed.length())));
        }
    }

    @Test
    public void arbitraryBytesCauseNoException() {
        for (long seed = 0; seed < 500; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final byte[] bytes = new byte[random.nextInt(2_000)];
            random.nextBytes(bytes);
            final EmbeddedChannel channel = new EmbeddedChannel(new LineDecoder());
            channel.writeInbound(Unpooled.copiedBuffer("HELLO a b\r\n", US_ASCII), Unpooled.wrappedBuffer(bytes));
            assertEquals(read(channel).get(0), "HELLO a b|null|null", "seed " + seed);
            channel.checkException();
        }
    }
}
