package brookpath.coordination.group;

import java.util.zip.CRC32;
import java.util.zip.CRC32C;

/** What tells one image from another: the image begins with its base position, so the sum covers that as well. */
final class ImageSum {
    private ImageSum() {}

    /** Never 0, which stands for no image. */
    static long of(final byte[] image) {
        final CRC32 high = new CRC32();
        high.update(image);
        final CRC32C low = new CRC32C();
        low.update(image);
        return Math.max(1, high.getValue() << 31 | low.getValue());
    }
}
