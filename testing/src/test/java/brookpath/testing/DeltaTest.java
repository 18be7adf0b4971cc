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

/** A delta gives exactly the result that it was made for, or fails to apply, whatever the edits, the base or damage. */
public final class DeltaTest {
    private static final int ROUNDS = 2_000;
    private static final int MAX_BASE_BYTES = 4_000;
    private static final int ALPHABET_SIZE = 4;

    private static byte[] randomBytes(final Random random, final int length) {
        final byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) ('a' + random.nextInt(ALPHABET_SIZE));
        }
        return bytes;
    }

    /** Returns a copy in which a piece is removed, inserted before, overwritten or moved to the front. */
    private static byte[] edited(final Random random, final byte[] original) {
        final int at = random.nextInt(original.length + 1);
        final int until = at + random.nextInt(Math.min(200, original.length - at) + 1);
        final byte[] head = Arrays.copyOf(original, at);
        final byte[] piece = Arrays.copyOfRange(original, at, until);
        final byte[] tail = Arrays.copyOfRange(original, until, original.length);
        return switch (random.nextInt(4)) {
            case 0 -> concat(head, tail);
            case 1 -> concat(head, randomBytes(random, random.nextInt(200)), piece, tail);
            case 2 -> concat(head, randomBytes(random, piece.length), tail);
            default -> concat(piece, head, tail);
        };
    }

    private static byte[] concat(final byte[]... parts) {
        final byte[] all = new byte[Arrays.stream(parts).mapToInt(p -> p.length).sum()];
        int at = 0;
        for (final byte[] part : parts) {
            System.arraycopy(part, 0, all, at, part.length);
            at += part.length;
        }
        return all;
    }

    @Test
    public void applyingADeltaGivesTheEditedDocument() throws Delta.MismatchException {
        final Random random = new Random(1);
        for (int round = 0; round < ROUNDS; round++) {
            final byte[] base = randomBytes(random, random.nextInt(MAX_BASE_BYTES));
            byte[] result = base;
            for (int edits = random.nextInt(4); edits > 0; edits--) {
                result = edited(random, result);
            }
            assertEquals(Delta.apply(base, Delta.between(base, result)), result, "round " + round);
        }
    }

    @Test
    public void aSmallChangeOfALargeDocumentGivesASmallDelta() throws Delta.MismatchException {
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
    public void aFullDeltaAppliesToAnyBase() throws Delta.MismatchException {
        final byte[] result = randomBytes(new Random(2), 1_000);
        final byte[] fullDelta = Delta.full(result);
        assertTrue(DeltaBase.isEmpty(fullDelta));
        assertEquals(Delta.apply(new byte[0], fullDelta), result);
        assertEquals(Delta.apply(randomBytes(new Random(3), 500), fullDelta), result);
        assertFalse(DeltaBase.isEmpty(Delta.between(result, result)));
        assertFalse(DeltaBase.isEmpty(new byte[0]));
    }

    @Test
    public void aDifferentBaseIsRejected() {
        final Random random = new Random(4);
        final byte[] base = randomBytes(random, 1_000);
        final byte[] delta = Delta.between(base, edited(random, base));
        final byte[] other = base.clone();
        other[500] ^= 1;
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(other, delta));
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(new byte[0], delta));
        assertThrows(Delta.MismatchException.class, () -> Delta.apply(Arrays.copyOf(base, 999), delta));
    }

    @Test
    public void aDamagedDeltaNeverGivesAWrongResult() {
        final Random random = new Random(5);
        for (int round = 0; round < ROUNDS; round++) {
            final byte[] base = randomBytes(random, 1 + random.nextInt(300));
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
