package brookpath.coordination.group;

import java.util.Arrays;

/**
 * The sending side of a full sync: one image of the group, built once and sent in parts to all who are under way with
 * it. It is dropped when nobody has asked for a part for a while, or when the log that it was made of is cut.
 */
final class ImageSender {
    /**
     * No part is larger. A link of 2.8 Mbit/s carries one in 94 ms, a fifth of the default detection time, so the beats
     * behind it come in time.
     */
    static final int PART_BYTES = 32 << 10;

    /** One part, and of which image it is. */
    record Part(long sum, long total, long offset, byte[] bytes) {}

    private final long keepMs;
    private byte[] image;
    private long sum;
    private long endLsn;
    private long askedAt;

    /** @param keepMs how long an image is kept after it was last asked for */
    ImageSender(final long keepMs) {
        this.keepMs = keepMs;
    }

    /** Holds a new image in place of any other. */
    void hold(final byte[] newImage, final long newEndLsn, final long now) {
        image = newImage;
        sum = ImageSum.of(newImage);
        endLsn = newEndLsn;
        askedAt = now;
    }

    /**
     * Whether the image that is held serves a receiver: one that is under way with it, or whose log ends no later than
     * the image does, so that the image takes nothing from it.
     */
    boolean serves(final long askedSum, final long receiverEndLsn) {
        return image != null && ((askedSum != 0 && askedSum == sum) || receiverEndLsn <= endLsn);
    }

    /** The next part for a receiver that has so much of that image; the first where it has another. */
    Part part(final long askedSum, final long askedOffset, final long now) {
        askedAt = now;
        final int from = askedSum == sum && askedOffset > 0 && askedOffset < image.length ? (int) askedOffset : 0;
        final int to = Math.min(image.length, from + PART_BYTES);
        return new Part(sum, image.length, from, Arrays.copyOfRange(image, from, to));
    }

    /** Up to where the log may be trimmed: whoever takes the image goes on from its end. */
    long trimLimit() {
        return image == null ? Long.MAX_VALUE : endLsn;
    }

    void expire(final long now) {
        if (image != null && now - askedAt > keepMs) {
            drop();
        }
    }

    void drop() {
        image = null;
        sum = 0;
    }
}
