package brookpath.transport.wire;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;

/**
 * The sessions with one node, all with the same incarnation of it. Access is synchronized, so that once a newer
 * incarnation has connected, no message of an older one is delivered. Thread-safe.
 */
final class Peer {
    private long incarnation;
    private Channel dialled;
    private Channel accepted;

    /**
     * Adds a session with an incarnation, and closes the sessions with any other incarnation.
     *
     * @param dialledByUs whether this process dialled
     * @param onReplaced run if another incarnation is replaced, before any message of the new one is delivered
     */
    synchronized void begin(
            final long newIncarnation, final Channel channel, final boolean dialledByUs, final Runnable onReplaced) {
        if (incarnation != newIncarnation) {
            final boolean hadSessions = dialled != null || accepted != null;
            close();
            dialled = null;
            accepted = null;
            incarnation = newIncarnation;
            if (hadSessions) {
                onReplaced.run();
            }
        }
        if (dialledByUs) {
            dialled = channel;
        } else {
            accepted = channel;
        }
    }

    /** Delivers a message of an incarnation; false if another incarnation has connected since. */
    synchronized boolean deliver(final long ofIncarnation, final Runnable delivery) {
        if (incarnation != ofIncarnation) {
            return false;
        }
        delivery.run();
        return true;
    }

    /** Removes a session that ended; false if its incarnation has been replaced. */
    synchronized boolean end(final long ofIncarnation, final Channel channel) {
        if (dialled == channel) {
            dialled = null;
        }
        if (accepted == channel) {
            accepted = null;
        }
        return incarnation == ofIncarnation;
    }

    /** The session to send on; null for none. */
    synchronized Channel channel() {
        return dialled != null && dialled.isActive() ? dialled : accepted;
    }

    /** Closes the session that this process dialled. */
    synchronized void closeDialled() {
        if (dialled != null) {
            dialled.close();
        }
    }

    /** Closes all sessions with the node. */
    synchronized void close() {
        final List<Channel> channels = new ArrayList<>();
        if (dialled != null) {
            channels.add(dialled);
        }
        if (accepted != null) {
            channels.add(accepted);
        }
        channels.forEach(Channel::close);
    }
}
