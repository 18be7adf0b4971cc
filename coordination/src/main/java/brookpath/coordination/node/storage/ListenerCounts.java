package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ListenerCountStatus;
import brookpath.coordination.message.PeerMessage.ListenerCountReply;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The number of sessions of each gateway that listen to the topics of each group. Soft state of the leaders: it is
 * rebuilt from the gateways' reports, and counts that a gateway no longer confirms expire.
 */
public final class ListenerCounts {
    /** The base version of a report with complete counts, not changes of earlier ones. */
    private static final long COMPLETE = 0;

    /** @param version identifies these counts, so that the gateway may report only the changes since */
    private record ReportedCounts(long reportedAt, long version, Map<String, Integer> byTopic) {}

    private final TimingBounds timing;
    private final Actions out;
    private final TreeMap<Integer, TreeMap<Integer, ReportedCounts>> byGroupAndGateway = new TreeMap<>();

    public ListenerCounts(final TimingBounds timing, final Actions out) {
        this.timing = timing;
        this.out = out;
    }

    /** Applies a gateway's report; a report of changes to counts that are unknown here is dropped. */
    public void report(final int gateway, final ListenerReport report, final long now) {
        final TreeMap<Integer, ReportedCounts> byGateway =
                byGroupAndGateway.computeIfAbsent(report.group(), id -> new TreeMap<>());
        final ReportedCounts previous = byGateway.get(gateway);
        final boolean complete = report.onto() == COMPLETE;
        if (!complete && (previous == null || previous.version != report.onto())) {
            return;
        }
        final Map<String, Integer> byTopic = complete ? merge(Map.of(), report) : merge(previous.byTopic, report);
        byGateway.put(gateway, new ReportedCounts(now, report.edition(), byTopic));
    }

    private static Map<String, Integer> merge(final Map<String, Integer> base, final ListenerReport report) {
        if (report.counts().isEmpty()) {
            return base;
        }
        final Map<String, Integer> merged = new HashMap<>(base);
        report.counts().forEach(count -> merged.put(count.topic(), count.count()));
        return merged;
    }

    /**
     * Replies to a gateway's request for the number of sessions that listen to a topic.
     *
     * @param group this node's replica of the group; null where it has none
     */
    public void answer(
            final int gateway, final ListenerCountRequest request, final GroupMachine group, final long now) {
        if (group == null || !group.mayAct(now)) {
            out.send(gateway, new ListenerCountReply(request.requestId(), ListenerCountStatus.NOT_HERE, 0));
            return;
        }
        final int listeners = count(request.group(), request.topic(), now);
        out.send(gateway, new ListenerCountReply(request.requestId(), ListenerCountStatus.OK, listeners));
    }

    private int count(final int group, final String topic, final long now) {
        final TreeMap<Integer, ReportedCounts> byGateway = byGroupAndGateway.get(group);
        if (byGateway == null) {
            return 0;
        }
        int listeners = 0;
        for (final ReportedCounts reported : byGateway.values()) {
            // Soft state: counts expire unless their gateway confirms them
            if (now - reported.reportedAt <= timing.listenerExpiry()) {
                listeners += reported.byTopic.getOrDefault(topic, 0);
            }
        }
        return listeners;
    }
}
