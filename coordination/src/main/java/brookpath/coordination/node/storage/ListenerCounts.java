package brookpath.coordination.node.storage;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ListenerCountReply;
import brookpath.coordination.message.PeerMessage.ListenerCountRequest;
import brookpath.coordination.message.PeerMessage.ListenerReport;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many sessions of each gateway listen to the topics of each group. Soft state of the leaders: it is rebuilt from
 * the gateways' reports, and what a gateway no longer confirms lapses.
 */
public final class ListenerCounts {
    /** A report whose counts stand by themselves, and change no earlier ones. */
    private static final long COMPLETE = 0;

    /** @param version names these counts, so that the gateway may report only what has changed since */
    private record ReportedCounts(long reportedAt, long version, Map<String, Integer> byTopic) {}

    private final TimingBounds timing;
    private final Actions out;
    private final TreeMap<Integer, TreeMap<Integer, ReportedCounts>> byGroupAndGateway = new TreeMap<>();

    public ListenerCounts(final TimingBounds timing, final Actions out) {
        this.timing = timing;
        this.out = out;
    }

    /** Takes a gateway's report; one that changes counts that are not known here is dropped. */
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
     * ControlResponder to a gateway that asks how many sessions listen to a topic.
     *
     * @param group the replica here; null where this machine has none
     */
    public void answer(
            final int gateway, final ListenerCountRequest request, final GroupMachine group, final long now) {
        if (group == null || !group.mayAct(now)) {
            out.send(gateway, new ListenerCountReply(request.requestId(), ListenerCountReply.NOT_HERE, 0));
            return;
        }
        final int listeners = count(request.group(), request.topic(), now);
        out.send(gateway, new ListenerCountReply(request.requestId(), ListenerCountReply.OK, listeners));
    }

    private int count(final int group, final String topic, final long now) {
        final TreeMap<Integer, ReportedCounts> byGateway = byGroupAndGateway.get(group);
        if (byGateway == null) {
            return 0;
        }
        int listeners = 0;
        for (final ReportedCounts reported : byGateway.values()) {
            // why: soft state lapses with the reports of the gateway that it came from
            if (now - reported.reportedAt <= timing.listenerExpiry()) {
                listeners += reported.byTopic.getOrDefault(topic, 0);
            }
        }
        return listeners;
    }
}
