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
 * Handles changes of the configuration. An accepted change is appended to the control log, and confirmed once its
 * record is committed and in force on every process. A refusal is not recorded, since it can be derived from the
 * document and the version that it conflicts with; it is sent only once that version is committed.
 */
public final class ConfigurationChangeHandler {
    /** Nothing more is appended while this many configuration and cluster metadata records are uncommitted. */
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

    /** Accepts or refuses a document; a document that was accepted before gets the same response again. */
    public void change(final int from, final ControlRequest request, final Time time) {
        if (request.body().length > ConfigurationReader.MAX_BYTES) {
            final Finding finding = new Finding("/", "larger than " + ConfigurationReader.MAX_BYTES + " bytes");
            responder.respond(
                    from, request.requestId(), ControlResponder.refused(ResponseStatus.TOO_LARGE, List.of(finding)));
            return;
        }
        if (pending.count(ControlRequestKind.CHANGE) >= MAX_CHANGES) {
            responder.respond(
                    from, request.requestId(), responder.unavailable("too many configuration changes are in progress"));
            return;
        }
        // Compared with the newest appended version, not the newest committed one, so that of two concurrent changes
        // one is certainly refused
        final StoredConfiguration newest = view.newestConfiguration();
        final ConfigurationReader.Reading reading =
                ConfigurationReader.read(request.body(), newest.version() + 1, limits, newest.configuration());
        if (hasChangeId(reading)) {
            appendOrRefuse(from, request, newest, reading, time);
        } else {
            final ResponseStatus status = reading.json() ? ResponseStatus.INVALID : ResponseStatus.BAD_REQUEST;
            responder.respond(from, request.requestId(), ControlResponder.refused(status, reading.findings()));
        }
    }

    /** Whether the document has a readable change ID, by which its outcome can be looked up. */
    private static boolean hasChangeId(final ConfigurationReader.Reading reading) {
        return reading.json()
                && reading.configuration() != null
                && !reading.configuration().changeId().isEmpty();
    }

    /** Appends the document unless it is refused, and responds once its outcome is certain. */
    private void appendOrRefuse(
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
            responder.respond(from, request.requestId(), responder.unavailable("too many changes await replication"));
            return;
        }
        if (appends) {
            final byte[] body = ControlState.configurationBody(
                    newest, changeId, checksum, reading.configuration().version(), request.body());
            group.append(LogRecord.CONTROL, body, time.mono(), time.wall());
        }
        final PendingRequests.ResponseSource responseSource = at -> {
            final Outcome outcome = view.state().outcomes().of(changeId);
            return outcome != null
                    ? acceptedResponse(changeId, checksum, outcome, at.mono())
                    : refusalOnceCommitted(newest.version(), refusal);
        };
        pending.add(from, request, ControlRequestKind.CHANGE, responseSource, time);
    }

    private static long checksum(final byte[] document) {
        final CRC32C crc = new CRC32C();
        crc.update(document);
        return crc.getValue();
    }

    /** The refusal of a document that cannot follow the newest version; null where it can. */
    private static Response refusal(final ConfigurationReader.Reading reading, final StoredConfiguration newest) {
        if (!reading.findings().isEmpty()) {
            return refusalResponse(
                    ResponseStatus.INVALID,
                    reading.configuration().changeId(),
                    "\"findings\":" + Finding.toJson(reading.findings()));
        }
        return reading.configuration().basedOn() == newest.version()
                ? null
                : refusalResponse(
                        ResponseStatus.CONFLICT,
                        reading.configuration().changeId(),
                        "\"why\":\"basedOn is not the current version\",\"version\":" + newest.version());
    }

    private static Response refusalResponse(
            final ResponseStatus status, final String changeId, final String reasonJson) {
        return new Response(
                status, 0, "{\"outcome\":\"refused\",\"changeId\":\"" + changeId + "\"," + reasonJson + "}");
    }

    /** A refusal for a conflict is final only once the version that won is committed. */
    private Response refusalOnceCommitted(final long winner, final Response refusal) {
        return view.configuration().version() >= winner ? refusal : null;
    }

    private Response acceptedResponse(
            final String changeId, final long checksum, final Outcome outcome, final long now) {
        if (outcome.index() > group.committed()) {
            return null;
        }
        if (outcome.checksum() != checksum) {
            return refusalResponse(
                    ResponseStatus.CONFLICT,
                    changeId,
                    "\"why\":\"the change ID was already used for a different document\"");
        }
        if (!confirmation.isAppliedEverywhere(outcome.version(), now)) {
            return null;
        }
        confirmation.onConfirmed(outcome.version());
        return confirmedResponse(changeId, outcome);
    }

    private static Response confirmedResponse(final String changeId, final Outcome outcome) {
        return new Response(ResponseStatus.OK, 0, outcomeJson("confirmed", changeId, outcome));
    }

    private static String outcomeJson(final String status, final String changeId, final Outcome outcome) {
        return "{\"outcome\":\"" + status + "\",\"changeId\":\"" + changeId + "\",\"version\":" + outcome.version()
                + "}";
    }

    /** The outcome of a change: confirmed, not in force everywhere yet, or unknown. */
    public Response outcome(final String changeId, final int retryAfterMs, final long now) {
        final Outcome outcome = view.state().outcomes().of(changeId);
        if (outcome == null || outcome.index() > group.committed()) {
            return new Response(ResponseStatus.NOT_FOUND, 0, "{\"outcome\":\"unknown\"}");
        }
        return confirmation.isAppliedEverywhere(outcome.version(), now)
                ? confirmedResponse(changeId, outcome)
                : new Response(ResponseStatus.ACCEPTED, retryAfterMs, outcomeJson("spreading", changeId, outcome));
    }
}
