package brookpath.transport.wire;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;

/**
 * The sessions with one node, all of them with the same life of it. Its monitor orders what comes from the node: once a
 * newer life is heard, nothing of an older one is handed on.
 */
final class Peer {
    private long life;
    private Channel dialled;
    private Channel accepted;

    /**
     * A session with this life began. Sessions with another life are ended by it.
     *
     * @param byUs whether this process dialled
     * @param replaced told before anything of the new life is handed on
     */
    synchronized void begin(final long newLife, final Channel channel, final boolean byUs, final Runnable replaced) {
        if (life != newLife) {
            final boolean other = dialled != null || accepted != null;
            close();
            dialled = null;
            accepted = null;
            life = newLife;
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

    /** Hands something of that life on; false where a newer life has been heard since. */
    synchronized boolean handOn(final long ofLife, final Runnable what) {
        if (life != ofLife) {
            return false;
        }
        what.run();
        return true;
    }

    /** A session ended; false where it was with a life that is gone. */
    synchronized boolean end(final long ofLife, final Channel channel) {
        if (dialled == channel) {
            dialled = null;
        }
        if (accepted == channel) {
            accepted = null;
        }
        return life == ofLife;
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
