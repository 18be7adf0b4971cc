package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import brookpath.state.record.Delta;
import java.util.Arrays;
import java.util.Random;
import org.testng.annotations.Test;

/** Differences between documents: whatever the edits, they give the result they were made for, or nothing. */
public final class DeltaTest {
    private static final int ROUNDS = 2_000;
    private static final int LARGEST = 4_000;
    private static final int ALPHABET = 4;

    private static byte[] random(final Random random, final int length) {
        final byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) ('a' + random.nextInt(ALPHABET));
        }
        return bytes;
    }

    /** Removes, inserts, overwrites or moves a piece. */
    private static byte[] edited(final Random random, final byte[] from) {
        final int at = random.nextInt(from.length + 1);
        final int until = at + random.nextInt(Math.min(200, from.length - at) + 1);
        final byte[] head = Arrays.copyOf(from, at);
        final byte[] piece = Arrays.copyOfRange(from, at, until);
        final byte[] tail = Arrays.copyOfRange(from, until, from.length);
        return switch (random.nextInt(4)) {
            case 0 -> join(head, tail);
            case 1 -> join(head, random(random, random.nextInt(200)), piece, tail);
            case 2 -> join(head, random(random, piece.length), tail);
            default -> join(piece, head, tail);
        };
    }

    private static byte[] join(final byte[]... parts) {
        final byte[] all = new byte[Arrays.stream(parts).mapToInt(p -> p.length).sum()];
        int at = 0;
        for (final byte[] part : parts) {
            System.arraycopy(part, 0, all, at, part.length);
            at += part.length;
        }
        return all;
    }

    @Test
    public void editsAreReproduced() throws Delta.MismatchException {
        final Random random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            final byte[] base = random(random, random.nextInt(LARGEST));
            byte[] result = base;
            for (int edits = random.nextInt(4); edits > 0; edits--) {
                result = edited(random, result);
            }
            assertEquals(Delta.apply(base, Delta.between(base, result)), result, "round " + round);
        }
    }

    @Test
    public void aSmallChangeOfALargeDocumentIsSmall() throws Delta.MismatchException {
        final StringBuilder text = new StringBuilder();
        for (int i = 0; i < 2_000; i++) {
            text.append("{\"name\":\"space-").append(i).append("\",\"keepingSeconds\":35},");
        }
        final byte[] base = text.toString().getBytes(UTF_8);
        final byte[] result = text.toString()
                .replace("space-1000\",\"keepingSeconds\":35", "space-1000\",\"keepingSeconds\":36")
                .getBytes(UTF_8);
        final byte[] delta = Delta.between(base, result);
        assertTrue(delta.length < 40, delta.length + " bytes of " + result.length);
        assertEquals(Delta.apply(base, delta), result);
    }

    @Test
    public void theWholeFitsAnyBase() throws Delta.MismatchException {
        final byte[] result = random(new Random(2), 1_000);
        final byte[] whole = Delta.full(result);
        assertTrue(DeltaBase.isEmpty(whole));
        assertEquals(Delta.apply(new byte[0], whole), result);
        assertEquals(Delta.apply(random(new Random(3), 500), whole), result);
        assertFalse(DeltaBase.isEmpty(Delta.between(result, result)));
        assertFalse(DeltaBase.isEmpty(new byte[0]));
    }

    @Test
    public void anotherBaseIsRefused() {
        final Random random = new Random(4);
        final byte[] base = random(random, 1_000);
        final byte[] delta = Delta.between(base, edited(random, base));
        final byte[] other = base.clone();
        other[500] ^= 1;
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(other, delta));
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(new byte[0], delta));
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(Arrays.copyOf(base, 999), delta));
    }

    @Test
    public void aDamagedDifferenceNeverGivesAnotherResult() {
        final Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            final byte[] base = random(random, 1 + random.nextInt(300));
            final byte[] result = edited(random, base);
            final byte[] delta = Delta.between(base, result);
            final byte[] damaged =
                    random.nextBoolean() ? delta.clone() : Arrays.copyOf(delta, random.nextInt(delta.length));
            if (damaged.length == delta.length) {
                damaged[random.nextInt(delta.length)] ^= (byte) (1 << random.nextInt(8));
            }
            try {
                assertEquals(Delta.apply(base, damaged), result, "round " + round);
            } catch (final Delta.MismatchException ex) {
                assertFalse(ex.getMessage().isEmpty());
            }
        }
    }
}
