package brookpath.coordination.group;

import brookpath.coordination.message.Msg.PullReply;
import brookpath.state.spool.Spool;
import java.io.ByteArrayOutputStream;

/**
 * The receiving side of a full sync: collects the parts of one image. It survives a lost session and a change of the
 * source; parts of another image make it begin again.
 */
final class ImageReceiver {
    private long sum;
    private long total;
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    /** The image that is under way, 0 for none. */
    long sum() {
        return sum;
    }

    /** How much of it is here. */
    long offset() {
        return received.size();
    }

    /** Takes one part; gives the whole image once it is complete, else null. */
    byte[] take(final PullReply part) {
        if (part.imageSum() != sum || part.imageTotal() != total) {
            reset();
            sum = part.imageSum();
            total = part.imageTotal();
        }
        if (part.imageOffset() != received.size() || total > Spool.MAX_ENTRY) {
            return null;
        }
        received.write(part.image(), 0, part.image().length);
        if (received.size() < total) {
            return null;
        }
        final byte[] image = received.toByteArray();
        final boolean whole = image.length == total && ImageSum.of(image) == sum;
        reset();
        return whole ? image : null;
    }

    void reset() {
        sum = 0;
        total = 0;
        received = new ByteArrayOutputStream();
    }
}
