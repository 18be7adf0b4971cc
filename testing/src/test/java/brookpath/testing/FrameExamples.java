package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.FetchStatus;
import brookpath.coordination.message.ListenerCountStatus;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.FetchReply;
import brookpath.coordination.message.PeerMessage.HeartbeatEntry;
import brookpath.coordination.message.PeerMessage.PublishReply;
import brookpath.coordination.message.PeerMessage.PullReply;
import brookpath.coordination.message.PublishOutcome;
import brookpath.state.record.LogRecord;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Fixed examples of every message type that processes exchange, with all fields set and with as few as possible. */
final class FrameExamples {
    private static final int GROUP = 0x01020304;
    private static final int GROUP_VERSION = 0x11121314;
    private static final int NODE = 0x21222324;
    private static final long TERM = 0x3132333435363738L;
    private static final long ID = 0x4142434445464748L;
    private static final long POSITION = 0x5152535455565758L;
    private static final long VERSION = 0x6162636465666768L;
    private static final String SENTENCE = "not now: \u010dekaj \u20ac";
    private static final byte[] NO_BYTES = {};
    private static final byte[] BYTES = {0, 1, 127, -128, -1};

    private FrameExamples() {}

    /** Returns the examples by name, as in the golden file. */
    static Map<String, PeerMessage> all() {
        final Map<String, PeerMessage> examples = new TreeMap<>();
        addHeartbeats(examples);
        addVotes(examples);
        addReplication(examples);
        addPublishes(examples);
        addFetches(examples);
        addControl(examples);
        addListeners(examples);
        return examples;
    }

    private static void addHeartbeats(final Map<String, PeerMessage> examples) {
        final HeartbeatEntry leading = new HeartbeatEntry(
                GROUP,
                GROUP_VERSION,
                TERM,
                HeartbeatEntry.LEADER,
                GroupMachine.SYNC_PEER,
                POSITION,
                POSITION + 1,
                TERM - 1,
                POSITION + 2,
                NODE,
                50);
        final HeartbeatEntry following =
                new HeartbeatEntry(1, 2, 3, HeartbeatEntry.FOLLOWER, GroupMachine.SYNC_CATCH_UP, 4, 5, 6, 7, 8, 9);
        final HeartbeatEntry candidate = new HeartbeatEntry(
                -1,
                Integer.MAX_VALUE,
                Long.MIN_VALUE,
                HeartbeatEntry.CANDIDATE,
                GroupMachine.SYNC_LOST,
                0,
                Long.MAX_VALUE,
                -1,
                0,
                0,
                0);
        examples.put(
                "heartbeat, three groups",
                new PeerMessage.Heartbeat(false, ID, POSITION, VERSION, false, List.of(leading, following, candidate)));
        examples.put(
                "heartbeat reply, unchanged", new PeerMessage.Heartbeat(true, ID, POSITION, VERSION, true, List.of()));
        examples.put(
                "heartbeat, history full",
                new PeerMessage.Heartbeat(false, ID, POSITION, VERSION, false, List.of(following), true));
        examples.put("heartbeat, nothing set", new PeerMessage.Heartbeat(false, 0, 0, 0, false, List.of()));
    }

    private static void addVotes(final Map<String, PeerMessage> examples) {
        examples.put(
                "vote asked for, by order",
                new PeerMessage.VoteRequest(GROUP, GROUP_VERSION, TERM, POSITION, TERM - 1, 50, 3, true));
        examples.put("vote asked for, nothing set", new PeerMessage.VoteRequest(0, 0, 0, 0, 0, 0, 0, false));
        examples.put("vote granted", new PeerMessage.VoteReply(GROUP, TERM, true, TERM, ""));
        examples.put("vote denied", new PeerMessage.VoteReply(GROUP, TERM, false, TERM + 1, SENTENCE));
        examples.put("stand for election now", new PeerMessage.TimeoutNow(GROUP, TERM));
        examples.put("stand for election now, nothing set", new PeerMessage.TimeoutNow(0, 0));
    }

    private static void addReplication(final Map<String, PeerMessage> examples) {
        examples.put(
                "log asked for, all fields",
                new PeerMessage.Pull(
                        GROUP,
                        GROUP_VERSION,
                        TERM,
                        POSITION,
                        TERM - 1,
                        POSITION - 1,
                        TERM - 2,
                        POSITION - 2,
                        true,
                        VERSION,
                        ID,
                        POSITION + 9));
        examples.put(
                "log asked for, by a member that rebuilds its log",
                new PeerMessage.Pull(1, 2, 3, 4, 5, 6, 7, PeerMessage.Pull.UNKNOWN, true, 0, 0, 0));
        examples.put("log asked for, nothing set", new PeerMessage.Pull(0, 0, 0, 0, 0, 0, 0, 0, false, 0, 0, 0));
        examples.put(
                "log entries",
                new PullReply(
                        GROUP,
                        GROUP_VERSION,
                        TERM,
                        PullReply.RECORDS,
                        PullReply.ACTING_LEADER,
                        POSITION,
                        POSITION + 1,
                        TERM - 1,
                        POSITION + 2,
                        NO_BYTES,
                        List.of(publish(), control())));
        examples.put(
                "log entries, the logs part",
                new PullReply(1, 2, 3, PullReply.MISMATCH, PullReply.LEADER, 4, 5, 6, 7, NO_BYTES, List.of()));
        examples.put(
                "log entries, part of a full copy",
                new PullReply(
                        1,
                        2,
                        3,
                        PullReply.FULL,
                        PullReply.LEADER,
                        4,
                        5,
                        6,
                        7,
                        BYTES,
                        List.of(),
                        ID,
                        VERSION,
                        POSITION));
        examples.put(
                "log entries, nothing set",
                new PullReply(0, 0, 0, PullReply.RECORDS, PullReply.FOLLOWER, 0, 0, 0, 0, NO_BYTES, List.of()));
    }

    private static LogRecord publish() {
        return LogRecord.of(
                POSITION,
                TERM,
                VERSION,
                LogRecord.PUBLISH,
                LogRecord.publishBody(ID, 2, "tenant", "space/topic", "sender", "text \u20ac"),
                77);
    }

    private static LogRecord control() {
        return LogRecord.of(POSITION + 1, TERM, VERSION, LogRecord.CONTROL, BYTES, 78);
    }

    private static void addPublishes(final Map<String, PeerMessage> examples) {
        examples.put(
                "publish, all fields",
                new PeerMessage.Publish(
                        ID, GROUP, VERSION, POSITION, "tenant", "space/topic", "sender", "text \u20ac"));
        examples.put("publish, nothing set", new PeerMessage.Publish(0, 0, 0, 0, "", "", "", ""));
        examples.put("publish taken", new PublishReply(ID, PublishOutcome.ACCEPTED, POSITION, 0, TERM, ""));
        examples.put("publish redirected", new PublishReply(ID, PublishOutcome.NOT_LEADER, 0, NODE, TERM, SENTENCE));
        examples.put("publish rejected", new PublishReply(ID, PublishOutcome.REFUSED_FOR_GOOD, 0, 0, TERM, SENTENCE));
        examples.put("publish of unknown end", new PublishReply(ID, PublishOutcome.UNSETTLED, 0, 0, TERM, SENTENCE));
        examples.put("publish to retry later", new PublishReply(ID, PublishOutcome.BUSY, 0, 0, 0, ""));
    }

    private static void addFetches(final Map<String, PeerMessage> examples) {
        examples.put(
                "fetch, of two topics",
                new PeerMessage.Fetch(
                        ID,
                        GROUP,
                        false,
                        false,
                        0,
                        0,
                        List.of(
                                new PeerMessage.TopicPosition("space/a", POSITION),
                                new PeerMessage.TopicPosition("space/b", 0))));
        examples.put("fetch, long poll", new PeerMessage.Fetch(ID, GROUP, false, true, POSITION, VERSION, List.of()));
        examples.put("fetch, of the end of the log", new PeerMessage.Fetch(ID, GROUP, true, false, 0, 0, List.of()));
        examples.put(
                "fetched, two entries and a trimmed topic",
                new FetchReply(
                        ID, GROUP, FetchStatus.OK, POSITION, List.of("space/old"), List.of(publish(), control())));
        examples.put("fetched, not here", new FetchReply(ID, GROUP, FetchStatus.NOT_HERE, 0, List.of(), List.of()));
        examples.put(
                "fetched, topics unknown",
                new FetchReply(ID, GROUP, FetchStatus.TOPICS_UNKNOWN, 0, List.of(), List.of()));
    }

    private static void addControl(final Map<String, PeerMessage> examples) {
        examples.put(
                "poll of a gateway",
                new ConfigurationPoll(
                        ID,
                        NODE,
                        ConfigurationPoll.GATEWAY,
                        "zone-a",
                        "10.0.0.1:7000",
                        "gate-1",
                        VERSION,
                        VERSION + 1,
                        true,
                        true,
                        POSITION,
                        ID + 1));
        examples.put(
                "poll of a storage node",
                new ConfigurationPoll(ID, NODE, ConfigurationPoll.STORAGE, "z", "a:1", "s", 1, 2, true, false, 0, 3));
        examples.put(
                "poll of a controller, nothing else set",
                new ConfigurationPoll(0, 0, ConfigurationPoll.CONTROLLER, "", "", "", 0, 0, false, false, 0, 0));
        examples.put(
                "poll answered, all fields",
                new PeerMessage.ConfigurationReply(
                        ID, true, NODE, TERM, VERSION, BYTES, VERSION + 1, new byte[] {9, 8}, NODE, POSITION));
        examples.put(
                "poll answered, nothing set",
                new PeerMessage.ConfigurationReply(0, false, 0, 0, 0, NO_BYTES, 0, NO_BYTES, 0, 0));
        examples.put("control call", new PeerMessage.ControlRequest(ID, "change", "{\"version\":1}".getBytes(UTF_8)));
        examples.put("control call, nothing set", new PeerMessage.ControlRequest(0, "", NO_BYTES));
        examples.put(
                "control answer",
                new PeerMessage.ControlReply(ID, 503, 1_500, "{\"outcome\":\"refused\"}".getBytes(UTF_8)));
        examples.put("control answer, nothing set", new PeerMessage.ControlReply(0, 0, 0, NO_BYTES));
    }

    private static void addListeners(final Map<String, PeerMessage> examples) {
        examples.put(
                "listeners, of two topics",
                new PeerMessage.ListenerReport(
                        GROUP,
                        VERSION,
                        VERSION - 1,
                        List.of(new PeerMessage.TopicCount("space/a", 3), new PeerMessage.TopicCount("space/b", 0))));
        examples.put("listeners, nothing set", new PeerMessage.ListenerReport(0, 0, 0, List.of()));
        examples.put("listener count asked for", new PeerMessage.ListenerCountRequest(ID, GROUP, "space/a"));
        examples.put("listener count asked for, nothing set", new PeerMessage.ListenerCountRequest(0, 0, ""));
        examples.put("listener count", new PeerMessage.ListenerCountReply(ID, ListenerCountStatus.OK, 42));
        examples.put(
                "listener count, not here", new PeerMessage.ListenerCountReply(ID, ListenerCountStatus.NOT_HERE, 0));
    }
}
