package brookpath.coordination.node.gateway;

/**
 * Limits how many bytes of records are delivered to a session to catch up before its connection has taken them. Without
 * it a fast source fills the connection's queue in one burst, and a client that reads is disconnected as too slow.
 */
final class CatchUpWindow {
    /** Half of what a connection queues, so that records of live topics have room beside it. */
    static final int MAX_BYTES = 128 << 10;
    /** Beyond it the connection is asked to say when it has taken all; sooner would be a notification per record. */
    private static final int NOTIFY_BYTES = MAX_BYTES / 2;

    private long bytes;
    /** How many of these the pending notification is about. */
    private long notifiedBytes;

    private boolean notificationPending;

    /** Whether another record may be delivered. */
    boolean isOpen() {
        return bytes < MAX_BYTES;
    }

    /** A record of this size was delivered. */
    void delivered(final int recordBytes) {
        bytes += recordBytes;
    }

    /** Whether the connection has to be asked now; it is asked once at a time. */
    boolean needsNotification() {
        final boolean needed = bytes >= NOTIFY_BYTES && !notificationPending;
        if (needed) {
            notificationPending = true;
            notifiedBytes = bytes;
        }
        return needed;
    }

    /** The connection has taken what was delivered before it was asked. */
    void flushed() {
        bytes -= notifiedBytes;
        notificationPending = false;
    }
}
