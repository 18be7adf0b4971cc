package brookpath.transport.wire;

import io.netty.channel.DefaultChannelId;

/** Prints a channel ID that Netty generates in a new process after {@link NettyStart#prepare}. */
final class ChannelIdProbe {
    private ChannelIdProbe() {}

    /** Takes no arguments. */
    public static void main(final String[] args) {
        NettyStart.prepare();
        System.out.println(DefaultChannelId.newInstance().asLongText());
    }
}
