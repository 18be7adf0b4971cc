package brookpath.transport.wire;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;

/**
 * The sessions with one node, all of them with the same incarnation of it. Its monitor orders what comes from the node:
 * once a newer incarnation has connected, nothing of an older one is delivered.
 */
final class Peer {
    private long incarnation;
    private Channel dialled;
    private Channel accepted;

    /**
     * A session with this incarnation began. It ends those with another one.
     *
     * @param byUs whether this process dialled
     * @param replaced run before anything of the new incarnation is delivered, where it replaces another
     */
    synchronized void begin(
            final long newIncarnation, final Channel channel, final boolean byUs, final Runnable replaced) {
        if (incarnation != newIncarnation) {
            final boolean other = dialled != null || accepted != null;
            close();
            dialled = null;
            accepted = null;
            incarnation = newIncarnation;
            if (other) {
                replaced.run();
            }
        }
        if (byUs) {
            dialled = channel;
        } else {
            accepted = channel;
        }
    }

    /** Delivers a message of an incarnation; false where another one has connected since. */
    synchronized boolean deliver(final long ofIncarnation, final Runnable delivery) {
        if (incarnation != ofIncarnation) {
            return false;
        }
        delivery.run();
        return true;
    }

    /** A session ended; false where it was with an incarnation that has been replaced. */
    synchronized boolean end(final long ofIncarnation, final Channel channel) {
        if (dialled == channel) {
            dialled = null;
        }
        if (accepted == channel) {
            accepted = null;
        }
        return incarnation == ofIncarnation;
    }

    /** The session to send on, null for none. */
    synchronized Channel channel() {
        return dialled != null && dialled.isActive() ? dialled : accepted;
    }

    /** Ends the session that this process dialled. */
    synchronized void closeDialled() {
        if (dialled != null) {
            dialled.close();
        }
    }

    /** Ends all sessions with the node. */
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
