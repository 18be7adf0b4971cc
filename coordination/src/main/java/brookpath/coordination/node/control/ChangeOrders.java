package brookpath.coordination.node.control;

import brookpath.coordination.configuration.ChangeOutcomes.Outcome;
import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.ControlState;
import brookpath.coordination.configuration.Finding;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.LogRecord;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Changes of the configuration. A change that is taken is a record of the control log, and confirmed once that is
 * committed and in force everywhere. A refusal is no record: it follows from the document and from the version that it
 * lost to, and is given only once that version is committed.
 */
public final class ChangeOrders {
    /** Beyond so many configurations and cluster metadata that are not committed yet, nothing more is appended. */
    public static final int MAX_UNCOMMITTED = 16;

    private static final int MAX_CHANGES = 64;

    private final GroupMachine group;
    private final ControlView view;
    private final ConfigurationReader.Limits limits;
    private final Followers followers;
    private final PendingAnswers pending;
    private final Replies replies;

    public ChangeOrders(
            final GroupMachine group,
            final ControlView view,
            final ConfigurationReader.Limits limits,
            final Followers followers,
            final PendingAnswers pending,
            final Replies replies) {
        this.group = group;
        this.view = view;
        this.limits = limits;
        this.followers = followers;
        this.pending = pending;
        this.replies = replies;
    }

    /** Takes or refuses a document, or answers again for one that was taken before. */
    public void change(final int from, final ControlRequest op, final Time time) {
        if (op.body().length > ConfigurationReader.MAX_BYTES) {
            final Finding finding = new Finding("/", "larger than " + ConfigurationReader.MAX_BYTES + " bytes");
            replies.respond(from, op.requestId(), Replies.refused(ResponseStatus.TOO_LARGE, List.of(finding)));
            return;
        }
        if (pending.count(RequestKind.CHANGE) >= MAX_CHANGES) {
            replies.respond(from, op.requestId(), replies.unavailable("too many changes are under way"));
            return;
        }
        // why: compared with the newest appended, not the newest committed, so that of two racing changes one loses for
        // certain
        final StoredConfiguration newest = view.newestConfiguration();
        final ConfigurationReader.Reading reading =
                ConfigurationReader.read(op.body(), newest.version() + 1, limits, newest.configuration());
        if (!reading.json()
                || reading.configuration() == null
                || reading.configuration().changeId().isEmpty()) {
            replies.respond(
                    from,
                    op.requestId(),
                    Replies.refused(
                            reading.json() ? ResponseStatus.INVALID : ResponseStatus.BAD_REQUEST, reading.findings()));
            return;
        }
        final String changeId = reading.configuration().changeId();
        final long checksum = checksum(op.body());
        final Response refusal = refusal(reading, newest);
        final boolean appends = view.state().outcomes().of(changeId) == null && refusal == null;
        if (appends && view.uncommitted() >= MAX_UNCOMMITTED) {
            replies.respond(from, op.requestId(), replies.unavailable("too many changes wait for their copies"));
            return;
        }
        if (appends) {
            final byte[] body = ControlState.configurationBody(
                    newest, changeId, checksum, reading.configuration().version(), op.body());
            group.append(LogRecord.CONTROL, body, time.mono(), time.wall());
        }
        final PendingAnswers.Answer answer = at -> {
            final Outcome outcome = view.state().outcomes().of(changeId);
            return outcome != null
                    ? taken(changeId, checksum, outcome, at.mono())
                    : refusedBy(newest.version(), refusal);
        };
        pending.add(from, op, RequestKind.CHANGE, answer, time);
    }

    private static long checksum(final byte[] document) {
        final CRC32C crc = new CRC32C();
        crc.update(document);
        return crc.getValue();
    }

    /** Why the document cannot follow the newest version, null where it can. */
    private static Response refusal(final ConfigurationReader.Reading reading, final StoredConfiguration newest) {
        if (!reading.findings().isEmpty()) {
            return refused(
                    ResponseStatus.INVALID,
                    reading.configuration().changeId(),
                    "\"findings\":" + Finding.json(reading.findings()));
        }
        return reading.configuration().basedOn() == newest.version()
                ? null
                : refused(
                        ResponseStatus.CONFLICT,
                        reading.configuration().changeId(),
                        "\"why\":\"basedOn is not the present version\",\"version\":" + newest.version());
    }

    private static Response refused(final ResponseStatus status, final String changeId, final String why) {
        return new Response(status, 0, "{\"outcome\":\"refused\",\"changeId\":\"" + changeId + "\"," + why + "}");
    }

    /** A lost race is final only once the version that won is committed. */
    private Response refusedBy(final long winner, final Response refusal) {
        return view.configuration().version() >= winner ? refusal : null;
    }

    private Response taken(final String changeId, final long checksum, final Outcome outcome, final long now) {
        if (outcome.index() > group.committed()) {
            return null;
        }
        if (outcome.checksum() != checksum) {
            return refused(
                    ResponseStatus.CONFLICT, changeId, "\"why\":\"the change ID was used for another document\"");
        }
        if (!followers.everywhere(outcome.version(), now)) {
            return null;
        }
        followers.confirmed(outcome.version());
        return confirmed(changeId, outcome);
    }

    private static Response confirmed(final String changeId, final Outcome outcome) {
        return new Response(ResponseStatus.OK, 0, told("confirmed", changeId, outcome));
    }

    private static String told(final String what, final String changeId, final Outcome outcome) {
        return "{\"outcome\":\"" + what + "\",\"changeId\":\"" + changeId + "\",\"version\":" + outcome.version() + "}";
    }

    /** What became of a change: confirmed, spreading, or unknown. */
    public Response outcome(final String changeId, final int retryAfterMs, final long now) {
        final Outcome outcome = view.state().outcomes().of(changeId);
        if (outcome == null || outcome.index() > group.committed()) {
            return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"unknown\"}");
        }
        return followers.everywhere(outcome.version(), now)
                ? confirmed(changeId, outcome)
                : new Response(ResponseStatus.ACCEPTED, retryAfterMs, told("spreading", changeId, outcome));
    }
}
