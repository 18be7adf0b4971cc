package brookpath.state.record;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;
import org.agrona.collections.Long2LongHashMap;

/**
 * The difference between two byte strings, as a list of copies from the base and of literal bytes. It names its base
 * and its result by length and CRC32C, so that it is applied to no other base and gives no other result. The difference
 * from an empty base contains the complete result.
 *
 * <p>Layout, little endian: base length (4), base checksum (4), result length (4), result checksum (4), then the
 * operations. Each begins with a variable-length number: {@code length << 1 | 1} for a copy, followed by the offset in
 * the base as another such number; {@code length << 1} for literal bytes, which follow.
 */
public final class Delta {
    /** Matches are found by blocks of the base that begin at multiples of this. */
    private static final int BLOCK = 16;

    private static final int HEADER = 16;
    private static final int MAX_RESULT = 64 << 20;
    private static final int NO_BLOCK = -1;
    private static final int REPEATED_BLOCK = -2;
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
    private static final byte[] EMPTY = new byte[0];

    /** A difference that does not fit the base, or that is damaged. */
    public static final class MismatchException extends Exception {
        private static final long serialVersionUID = 1;

        MismatchException(final String message) {
            super(message);
        }
    }

    private Delta() {}

    /** The complete byte string, encoded as a difference from an empty base. */
    public static byte[] full(final byte[] result) {
        return between(EMPTY, result);
    }

    /**
     * The difference that turns the base into the result. Linear in the sizes of both for documents that differ in a
     * few places.
     */
    public static byte[] between(final byte[] base, final byte[] result) {
        final Writer writer = new Writer(result);
        final Long2LongHashMap blocks = blocksOf(base);
        final ByteBuffer from = little(base);
        final ByteBuffer to = little(result);
        int literalFrom = 0;
        int at = 0;
        int shift = 0;
        while (at + BLOCK <= result.length) {
            final int found = find(from, blocks, at + shift, to, at);
            if (found == NO_BLOCK) {
                at++;
                continue;
            }
            final int back = commonBefore(base, found, result, at, literalFrom);
            final int start = at - back;
            final int offset = found - back;
            final int length = commonAfter(base, offset, result, start);
            writer.literal(literalFrom, start);
            writer.copy(offset, length);
            shift = offset - start;
            at = start + length;
            literalFrom = at;
        }
        writer.literal(literalFrom, result.length);
        return writer.done(base);
    }

    /**
     * The offset in the base of the block at this position of the result: where the last copy would continue, or else
     * the only occurrence. A block that occurs several times does not identify its position, and a copy from the wrong
     * one ends soon.
     */
    private static int find(
            final ByteBuffer base,
            final Long2LongHashMap blocks,
            final int expected,
            final ByteBuffer to,
            final int at) {
        if (expected >= 0 && expected + BLOCK <= base.capacity() && sameBlock(base, expected, to, at)) {
            return expected;
        }
        final int found = (int) blocks.get(hash(to, at));
        return found >= 0 && sameBlock(base, found, to, at) ? found : NO_BLOCK;
    }

    /**
     * Applies a difference to its base and returns the result.
     *
     * @throws MismatchException where the base is another one than the difference was made from, or the result would
     *     not be the one that it was made for
     */
    public static byte[] apply(final byte[] base, final byte[] delta) throws MismatchException {
        if (delta.length < HEADER) {
            throw new MismatchException("a difference of " + delta.length + " bytes");
        }
        final ByteBuffer in = little(delta);
        final int baseLength = in.getInt();
        final int baseSum = in.getInt();
        final int length = in.getInt();
        final int sum = in.getInt();
        final byte[] from = baseLength == 0 ? EMPTY : base;
        if (from.length != baseLength || checksum(from) != baseSum) {
            throw new MismatchException("made from another base");
        }
        if (length < 0 || length > MAX_RESULT) {
            throw new MismatchException("a result of " + length + " bytes");
        }
        final byte[] result = new byte[length];
        int at = 0;
        while (in.hasRemaining()) {
            at += operation(in, from, result, at);
        }
        if (at != length || checksum(result) != sum) {
            throw new MismatchException("the result does not fit its checksum");
        }
        return result;
    }

    /** Carries out one operation and returns how many bytes it gave. */
    private static int operation(final ByteBuffer in, final byte[] base, final byte[] result, final int at)
            throws MismatchException {
        final int head = number(in);
        final int length = head >>> 1;
        final boolean copy = (head & 1) == 1;
        final int offset = copy ? number(in) : 0;
        final int available = copy ? base.length - offset : in.remaining();
        if (length > available || length > result.length - at) {
            throw new MismatchException("an operation that reaches beyond the end");
        }
        if (copy) {
            System.arraycopy(base, offset, result, at, length);
        } else {
            in.get(result, at, length);
        }
        return length;
    }

    private static int number(final ByteBuffer in) throws MismatchException {
        int value = 0;
        for (int shift = 0; shift < Integer.SIZE && in.hasRemaining(); shift += 7) {
            final byte part = in.get();
            value |= (part & 0x7f) << shift;
            if (part >= 0) {
                if (value < 0) {
                    break;
                }
                return value;
            }
        }
        throw new MismatchException("a number that does not end");
    }

    private static Long2LongHashMap blocksOf(final byte[] base) {
        final Long2LongHashMap blocks = new Long2LongHashMap(NO_BLOCK);
        final ByteBuffer from = little(base);
        for (int at = 0; at + BLOCK <= base.length; at += BLOCK) {
            final long before = blocks.put(hash(from, at), at);
            if (before != NO_BLOCK) {
                blocks.put(hash(from, at), REPEATED_BLOCK);
            }
        }
        return blocks;
    }

    private static long hash(final ByteBuffer bytes, final int at) {
        final long mixed = (bytes.getLong(at) * HASH_FACTOR) ^ bytes.getLong(at + Long.BYTES);
        return mixed * HASH_FACTOR;
    }

    private static boolean sameBlock(final ByteBuffer one, final int oneAt, final ByteBuffer other, final int at) {
        return one.getLong(oneAt) == other.getLong(at)
                && one.getLong(oneAt + Long.BYTES) == other.getLong(at + Long.BYTES);
    }

    private static int commonBefore(
            final byte[] base, final int baseAt, final byte[] result, final int at, final int notBefore) {
        int count = 0;
        while (baseAt - count > 0 && at - count > notBefore && base[baseAt - count - 1] == result[at - count - 1]) {
            count++;
        }
        return count;
    }

    private static int commonAfter(final byte[] base, final int baseAt, final byte[] result, final int at) {
        int count = 0;
        while (baseAt + count < base.length
                && at + count < result.length
                && base[baseAt + count] == result[at + count]) {
            count++;
        }
        return count;
    }

    private static ByteBuffer little(final byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static int checksum(final byte[] bytes) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Collects operations. */
    private static final class Writer {
        private final byte[] result;
        private final ByteArrayOutputStream operations = new ByteArrayOutputStream();

        Writer(final byte[] result) {
            this.result = result;
        }

        void literal(final int from, final int to) {
            if (to > from) {
                number((to - from) << 1);
                operations.write(result, from, to - from);
            }
        }

        void copy(final int offset, final int length) {
            number((length << 1) | 1);
            number(offset);
        }

        private void number(final int value) {
            int rest = value;
            while (rest > 0x7f) {
                operations.write((rest & 0x7f) | 0x80);
                rest >>>= 7;
            }
            operations.write(rest);
        }

        byte[] done(final byte[] base) {
            final byte[] delta = new byte[HEADER + operations.size()];
            final ByteBuffer out = little(delta);
            out.putInt(base.length).putInt(checksum(base));
            out.putInt(result.length).putInt(checksum(result));
            out.put(operations.toByteArray());
            return delta;
        }
    }
}
