package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.configuration.Configuration;
import brookpath.coordination.configuration.ConfigurationClient;

/** How long the history of a topic is kept, according to the newest configuration that this node has. */
public final class HistoryRetention {
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

    /**
     * How long a record is kept after this node has learned it, in milliseconds.
     *
     * @param topic empty for a record that belongs to no topic, which need not be kept at all
     */
    public long retentionMs(final String topic) {
        if (topic.isEmpty()) {
            return 0;
        }
        final Configuration.Space space = client.configuration().spaceOf(topic);
        // Before the first configuration the retention of the spaces is unknown, so nothing is trimmed
        return client.configuration().version() == 0
                ? Long.MAX_VALUE
                : space == null ? timing.retentionMargin() : space.retentionMs() + timing.retentionMargin();
    }
}
