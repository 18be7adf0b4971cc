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

/** The line protocol against an oracle that knows what was written, however the bytes are cut. */
public final class LineDecoderTest {
    private static String text(final ClientMessage m) {
        return String.join(" ", m.words()) + "|" + m.body() + "|" + m.rejection();
    }

    private static List<String> read(final EmbeddedChannel ch) {
        final List<String> got = new ArrayList<>();
        for (ClientMessage m = ch.readInbound(); m != null; m = ch.readInbound()) {
            got.add(text(m));
        }
        return got;
    }

    @Test
    public void howeverTheBytesAreCutTheMessagesAreTheSame() {
        for (long seed = 0; seed < 300; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final StringBuilder sent = new StringBuilder();
            final List<String> expected = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                if (random.nextBoolean()) {
                    final int len = switch (random.nextInt(5)) {
                        case 0 -> random.nextInt(20);
                        case 1 -> LineDecoder.MAX_BODY_BYTES + 1 + random.nextInt(50);
                        default -> 20 + random.nextInt(300);
                    };
                    final boolean odd = random.nextInt(6) == 0 && len > 0;
                    final String body = "b".repeat(Math.max(0, len - 1)) + (len == 0 ? "" : odd ? "\u0007" : "e");
                    sent.append("PUBLISH t.")
                            .append(i)
                            .append(' ')
                            .append(i)
                            .append(' ')
                            .append(len)
                            .append("\r\n")
                            .append(body)
                            .append("\r\n");
                    final String flaw = len > LineDecoder.MAX_BODY_BYTES
                            ? "TOOLARGE"
                            : len < LineDecoder.MIN_BODY_BYTES || odd ? "MALFORMED" : null;
                    expected.add(
                            "PUBLISH t." + i + " " + i + " " + len + "|" + (flaw == null ? body : null) + "|" + flaw);
                } else {
                    sent.append("SUBSCRIBE t.").append(i).append(" c").append(i).append("\r\n");
                    expected.add("SUBSCRIBE t." + i + " c" + i + "|null|null");
                }
            }
            final EmbeddedChannel ch = new EmbeddedChannel(new LineDecoder());
            final byte[] bytes = sent.toString().getBytes(US_ASCII);
            for (int at = 0; at < bytes.length; ) {
                final int n = Math.min(bytes.length - at, 1 + random.nextInt(700));
                ch.writeInbound(Unpooled.copiedBuffer(bytes, at, n));
                at += n;
            }
            assertEquals(read(ch), expected, "seed " + seed);
            assertTrue(ch.isActive(), "seed " + seed);
        }
    }

    @Test
    public void whatCannotBeToldApartEndsTheConnection() {
        for (final String nonsense : new String[] {
            "PUBLISH t 1 x\r\n",
            "PUBLISH t 1\r\n",
            "PUBLISH t 1 99999999\r\n",
            "x".repeat(5_000),
            "PUBLISH t 1 20\r\n" + "b".repeat(25)
        }) {
            final EmbeddedChannel ch = new EmbeddedChannel(new LineDecoder());
            ch.writeInbound(Unpooled.copiedBuffer(nonsense, US_ASCII));
            assertFalse(ch.isActive(), nonsense.substring(0, Math.min(30, nonsense.length())));
        }
    }

    @Test
    public void noBytesMakeItThrow() {
        for (long seed = 0; seed < 500; seed++) {
            final SplittableRandom random = new SplittableRandom(seed);
            final byte[] bytes = new byte[random.nextInt(2_000)];
            random.nextBytes(bytes);
            final EmbeddedChannel ch = new EmbeddedChannel(new LineDecoder());
            ch.writeInbound(Unpooled.copiedBuffer("HELLO a b\r\n", US_ASCII), Unpooled.wrappedBuffer(bytes));
            assertEquals(read(ch).get(0), "HELLO a b|null|null", "seed " + seed);
            ch.checkException();
        }
    }
}
