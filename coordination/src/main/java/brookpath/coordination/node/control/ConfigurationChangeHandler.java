package brookpath.coordination.node.control;

import brookpath.coordination.configuration.ConfigurationReader;
import brookpath.coordination.configuration.Finding;
import brookpath.coordination.configuration.StoredConfiguration;
import brookpath.coordination.controllog.ChangeOutcomes.Outcome;
import brookpath.coordination.controllog.ControlState;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.ControlRequestKind;
import brookpath.coordination.message.PeerMessage.ControlRequest;
import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import brookpath.coordination.node.Node.Time;
import brookpath.state.record.LogRecord;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Handles changes of the configuration. An accepted change is a record of the control log, and is confirmed once the
 * record is committed and in force on every process. A refusal is not recorded: it follows from the document and from
 * the version that it lost to, and is sent only once that version is committed.
 */
public final class ConfigurationChangeHandler {
    /** Beyond so many configurations and cluster metadata that are not committed yet, nothing more is appended. */
    public static final int MAX_UNCOMMITTED = 16;

    private static final int MAX_CHANGES = 64;

    private final GroupMachine group;
    private final ControlView view;
    private final ConfigurationReader.Limits limits;
    private final ChangeConfirmation confirmation;
    private final PendingRequests pending;
    private final ControlResponder responder;

    public ConfigurationChangeHandler(
            final GroupMachine group,
            final ControlView view,
            final ConfigurationReader.Limits limits,
            final ChangeConfirmation confirmation,
            final PendingRequests pending,
            final ControlResponder responder) {
        this.group = group;
        this.view = view;
        this.limits = limits;
        this.confirmation = confirmation;
        this.pending = pending;
        this.responder = responder;
    }

    /** Accepts or refuses a document, or repeats the response for one that was accepted before. */
    public void change(final int from, final ControlRequest request, final Time time) {
        if (request.body().length > ConfigurationReader.MAX_BYTES) {
            final Finding finding = new Finding("/", "larger than " + ConfigurationReader.MAX_BYTES + " bytes");
            responder.respond(
                    from, request.requestId(), ControlResponder.refused(ResponseStatus.TOO_LARGE, List.of(finding)));
            return;
        }
        if (pending.count(ControlRequestKind.CHANGE) >= MAX_CHANGES) {
            responder.respond(from, request.requestId(), responder.unavailable("too many changes are under way"));
            return;
        }
        // Compared with the newest appended, not the newest committed, so that of two concurrent changes one certainly
        // loses
        final StoredConfiguration newest = view.newestConfiguration();
        final ConfigurationReader.Reading reading =
                ConfigurationReader.read(request.body(), newest.version() + 1, limits, newest.configuration());
        if (isIdentified(reading)) {
            take(from, request, newest, reading, time);
        } else {
            final ResponseStatus status = reading.json() ? ResponseStatus.INVALID : ResponseStatus.BAD_REQUEST;
            responder.respond(from, request.requestId(), ControlResponder.refused(status, reading.findings()));
        }
    }

    /** Whether the document has a readable change ID, by which its outcome can be looked up. */
    private static boolean isIdentified(final ConfigurationReader.Reading reading) {
        return reading.json()
                && reading.configuration() != null
                && !reading.configuration().changeId().isEmpty();
    }

    /** Appends the document unless it is refused, and responds once its outcome is certain. */
    private void take(
            final int from,
            final ControlRequest request,
            final StoredConfiguration newest,
            final ConfigurationReader.Reading reading,
            final Time time) {
        final String changeId = reading.configuration().changeId();
        final long checksum = checksum(request.body());
        final Response refusal = refusal(reading, newest);
        final boolean appends = view.state().outcomes().of(changeId) == null && refusal == null;
        if (appends && view.uncommitted() >= MAX_UNCOMMITTED) {
            responder.respond(
                    from, request.requestId(), responder.unavailable("too many changes wait for their copies"));
            return;
        }
        if (appends) {
            final byte[] body = ControlState.configurationBody(
                    newest, changeId, checksum, reading.configuration().version(), request.body());
            group.append(LogRecord.CONTROL, body, time.mono(), time.wall());
        }
        final PendingRequests.Answer answer = at -> {
            final Outcome outcome = view.state().outcomes().of(changeId);
            return outcome != null
                    ? taken(changeId, checksum, outcome, at.mono())
                    : refusedBy(newest.version(), refusal);
        };
        pending.add(from, request, ControlRequestKind.CHANGE, answer, time);
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
                    "\"findings\":" + Finding.toJson(reading.findings()));
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
        if (!confirmation.isAppliedEverywhere(outcome.version(), now)) {
            return null;
        }
        confirmation.onConfirmed(outcome.version());
        return confirmed(changeId, outcome);
    }

    private static Response confirmed(final String changeId, final Outcome outcome) {
        return new Response(ResponseStatus.OK, 0, outcomeJson("confirmed", changeId, outcome));
    }

    private static String outcomeJson(final String what, final String changeId, final Outcome outcome) {
        return "{\"outcome\":\"" + what + "\",\"changeId\":\"" + changeId + "\",\"version\":" + outcome.version() + "}";
    }

    /** The outcome of a change: confirmed, not in force everywhere yet, or unknown. */
    public Response outcome(final String changeId, final int retryAfterMs, final long now) {
        final Outcome outcome = view.state().outcomes().of(changeId);
        if (outcome == null || outcome.index() > group.committed()) {
            return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"unknown\"}");
        }
        return confirmation.isAppliedEverywhere(outcome.version(), now)
                ? confirmed(changeId, outcome)
                : new Response(ResponseStatus.ACCEPTED, retryAfterMs, outcomeJson("spreading", changeId, outcome));
    }
}
