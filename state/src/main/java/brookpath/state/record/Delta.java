package brookpath.state.record;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.zip.CRC32C;
import org.agrona.collections.Long2LongHashMap;

/**
 * Binary deltas between two versions of a document. A delta is a list of operations that copy bytes from the base or
 * insert literal bytes. It holds the length and the CRC32C of both base and result, so that applying it to a different
 * base fails instead of giving a wrong result. A delta to an empty base contains the complete result.
 *
 * <p>Layout, little endian: base length (4 bytes), base checksum (4), result length (4), result checksum (4), then the
 * operations. Each begins with a variable-length integer: {@code length << 1 | 1} for a copy, followed by the offset in
 * the base as another such integer; {@code length << 1} for literal bytes, which follow.
 */
public final class Delta {
    /** Matches are searched for by blocks of this size, which begin at multiples of it in the base. */
    private static final int BLOCK_BYTES = 16;

    private static final int HEADER_BYTES = 16;
    private static final int MAX_RESULT_BYTES = 64 << 20;
    private static final int NO_BLOCK = -1;
    private static final int AMBIGUOUS_BLOCK = -2;
    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;
    private static final byte[] EMPTY = new byte[0];

    /** Thrown if a delta was made from a different base or is malformed. */
    public static final class MismatchException extends Exception {
        private static final long serialVersionUID = 1;

        MismatchException(final String message) {
            super(message);
        }
    }

    private Delta() {}

    /** Encodes the complete result as a delta to an empty base, which applies to any base. */
    public static byte[] full(final byte[] result) {
        return between(EMPTY, result);
    }

    /**
     * Computes the delta that turns the base into the result. Takes time linear in the sizes of both for documents that
     * differ in a few places.
     */
    public static byte[] between(final byte[] base, final byte[] result) {
        final Writer writer = new Writer(result);
        final Long2LongHashMap blockOffsets = indexBlocks(base);
        final ByteBuffer from = littleEndian(base);
        final ByteBuffer to = littleEndian(result);
        int literalStart = 0;
        int at = 0;
        int baseShift = 0;
        while (at + BLOCK_BYTES <= result.length) {
            final int found = findBlock(from, blockOffsets, at + baseShift, to, at);
            if (found == NO_BLOCK) {
                at++;
                continue;
            }
            final int back = matchingBytesBefore(base, found, result, at, literalStart);
            final int start = at - back;
            final int offset = found - back;
            final int length = matchingBytesFrom(base, offset, result, start);
            writer.writeLiteral(literalStart, start);
            writer.writeCopy(offset, length);
            baseShift = offset - start;
            at = start + length;
            literalStart = at;
        }
        writer.writeLiteral(literalStart, result.length);
        return writer.toDelta(base);
    }

    /**
     * Returns the offset in the base of a block equal to the one at this position of the result: the expected offset,
     * where the last copy would continue, or else the block's only occurrence. A block that occurs several times in the
     * base is not used, since a copy from the wrong occurrence would soon end.
     */
    private static int findBlock(
            final ByteBuffer base,
            final Long2LongHashMap blockOffsets,
            final int expected,
            final ByteBuffer to,
            final int at) {
        if (expected >= 0 && expected + BLOCK_BYTES <= base.capacity() && sameBlock(base, expected, to, at)) {
            return expected;
        }
        final int found = (int) blockOffsets.get(hash(to, at));
        return found >= 0 && sameBlock(base, found, to, at) ? found : NO_BLOCK;
    }

    /**
     * Applies a delta to its base and returns the result.
     *
     * @throws MismatchException if the delta was made from a different base, or if it is malformed or does not give the
     *     result that it was made for
     */
    public static byte[] apply(final byte[] base, final byte[] delta) throws MismatchException {
        if (delta.length < HEADER_BYTES) {
            throw new MismatchException("delta of only " + delta.length + " bytes");
        }
        final ByteBuffer in = littleEndian(delta);
        final int baseLength = in.getInt();
        final int baseSum = in.getInt();
        final int length = in.getInt();
        final int sum = in.getInt();
        final byte[] from = baseLength == 0 ? EMPTY : base;
        if (from.length != baseLength || checksum(from) != baseSum) {
            throw new MismatchException("the delta was made from a different base");
        }
        if (length < 0 || length > MAX_RESULT_BYTES) {
            throw new MismatchException("result length out of range: " + length + " bytes");
        }
        final byte[] result = new byte[length];
        int at = 0;
        while (in.hasRemaining()) {
            at += applyOperation(in, from, result, at);
        }
        if (at != length || checksum(result) != sum) {
            throw new MismatchException("the result does not match the length or checksum in the delta");
        }
        return result;
    }

    /** Applies the next operation and returns how many bytes it added to the result. */
    private static int applyOperation(final ByteBuffer in, final byte[] base, final byte[] result, final int at)
            throws MismatchException {
        final int lengthAndKind = readVarint(in);
        final int length = lengthAndKind >>> 1;
        final boolean copy = (lengthAndKind & 1) == 1;
        final int offset = copy ? readVarint(in) : 0;
        final int available = copy ? base.length - offset : in.remaining();
        if (length > available || length > result.length - at) {
            throw new MismatchException("an operation reaches beyond the end of the base, the delta or the result");
        }
        if (copy) {
            System.arraycopy(base, offset, result, at, length);
        } else {
            in.get(result, at, length);
        }
        return length;
    }

    private static int readVarint(final ByteBuffer in) throws MismatchException {
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
        throw new MismatchException("malformed variable-length integer");
    }

    private static Long2LongHashMap indexBlocks(final byte[] base) {
        final Long2LongHashMap blockOffsets = new Long2LongHashMap(NO_BLOCK);
        final ByteBuffer from = littleEndian(base);
        for (int at = 0; at + BLOCK_BYTES <= base.length; at += BLOCK_BYTES) {
            final long previous = blockOffsets.put(hash(from, at), at);
            if (previous != NO_BLOCK) {
                blockOffsets.put(hash(from, at), AMBIGUOUS_BLOCK);
            }
        }
        return blockOffsets;
    }

    private static long hash(final ByteBuffer bytes, final int at) {
        final long mixed = (bytes.getLong(at) * HASH_FACTOR) ^ bytes.getLong(at + Long.BYTES);
        return mixed * HASH_FACTOR;
    }

    private static boolean sameBlock(final ByteBuffer one, final int oneAt, final ByteBuffer other, final int at) {
        return one.getLong(oneAt) == other.getLong(at)
                && one.getLong(oneAt + Long.BYTES) == other.getLong(at + Long.BYTES);
    }

    private static int matchingBytesBefore(
            final byte[] base, final int baseAt, final byte[] result, final int at, final int notBefore) {
        int count = 0;
        while (baseAt - count > 0 && at - count > notBefore && base[baseAt - count - 1] == result[at - count - 1]) {
            count++;
        }
        return count;
    }

    private static int matchingBytesFrom(final byte[] base, final int baseAt, final byte[] result, final int at) {
        int count = 0;
        while (baseAt + count < base.length
                && at + count < result.length
                && base[baseAt + count] == result[at + count]) {
            count++;
        }
        return count;
    }

    private static ByteBuffer littleEndian(final byte[] bytes) {
        return ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    private static int checksum(final byte[] bytes) {
        final CRC32C crc = new CRC32C();
        crc.update(bytes);
        return (int) crc.getValue();
    }

    /** Encodes the operations of a delta. */
    private static final class Writer {
        private final byte[] result;
        private final ByteArrayOutputStream operations = new ByteArrayOutputStream();

        Writer(final byte[] result) {
            this.result = result;
        }

        void writeLiteral(final int from, final int to) {
            if (to > from) {
                writeVarint((to - from) << 1);
                operations.write(result, from, to - from);
            }
        }

        void writeCopy(final int offset, final int length) {
            writeVarint((length << 1) | 1);
            writeVarint(offset);
        }

        private void writeVarint(final int value) {
            int remaining = value;
            while (remaining > 0x7f) {
                operations.write((remaining & 0x7f) | 0x80);
                remaining >>>= 7;
            }
            operations.write(remaining);
        }

        byte[] toDelta(final byte[] base) {
            final byte[] delta = new byte[HEADER_BYTES + operations.size()];
            final ByteBuffer out = littleEndian(delta);
            out.putInt(base.length).putInt(checksum(base));
            out.putInt(result.length).putInt(checksum(result));
            out.put(operations.toByteArray());
            return delta;
        }
    }
}
