package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;
import brookpath.coordination.topic.TopicState;

/** How long the history of a topic is kept, according to the newest configuration that this node has. */
public final class HistoryRetention implements TopicState.Retention {
    private final ConfigurationClient client;
    private final TimingBounds timing;

    /**
     * @param client the client with this node's replica of the configuration
     * @param timing gives the margin by which history is kept longer than its space requires
     */
    public HistoryRetention(final ConfigurationClient client, final TimingBounds timing) {
        this.client = client;
        this.timing = timing;
    }

    @Override
    public long retentionMs(final String topic, final long now) {
        if (topic.isEmpty()) {
            return 0;
        }
        // Without the lease the configuration may be outdated, and so be too short: what this node trims, the other
        // members of the group trim as well
        if (!client.leased(now)) {
            return Long.MAX_VALUE;
        }
        final Configuration.Space space = client.configuration().spaceOf(topic);
        return space == null ? timing.retentionMargin() : space.retentionMs() + timing.retentionMargin();
    }
}
