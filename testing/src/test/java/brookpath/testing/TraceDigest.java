package brookpath.testing;

import static java.nio.charset.StandardCharsets.UTF_8;

import brookpath.coordination.action.Action;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.protocol.frame.FrameCodec;
import brookpath.testing.sim.ActionObserver;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * SHA-256 over all actions of a simulated run: their times, node numbers, encoded frames, stored bytes and responses,
 * with a fixed code for each kind of action. Identifiers, log lines and sentences that explain a refusal to a person
 * are not hashed, so that they may be reworded. Not thread-safe.
 */
final class TraceDigest implements ActionObserver {
    private static final byte SEND = 1;
    private static final byte WRITE = 2;
    private static final byte ROLL = 3;
    private static final byte RESPOND = 4;
    private static final byte DELIVER_LINE = 5;
    private static final byte DELIVER_RECORD = 6;
    private static final byte TOPIC_ENDED = 7;
    private static final byte MOVE = 8;
    private static final byte CLOSE = 9;
    private static final byte POST = 10;

    /** The members of JSON responses whose value is an explanation for people. */
    private static final Pattern EXPLANATION =
            Pattern.compile("(\"(?:why|what|because|obstacle)\":)\"(?:[^\"\\\\]|\\\\.)*+\"");

    private final FrameCodec codec = new FrameCodec();
    private final MessageDigest digest;
    private final ByteBuffer number = ByteBuffer.allocate(Long.BYTES);
    private long actions;

    TraceDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (final NoSuchAlgorithmException ex) {
            throw new IllegalStateException(ex);
        }
    }

    /** The number of actions hashed so far. */
    long actions() {
        return actions;
    }

    /** The digest of all observed actions in hexadecimal. May be called only once. */
    String hex() {
        return HexFormat.of().formatHex(digest.digest());
    }

    @Override
    public void observe(final long nowMs, final int node, final Action action) {
        if (action instanceof Action.Send a) {
            beginAction(SEND, nowMs, node);
            add(a.node());
            add(codec.encode(withoutExplanation(a.message())));
        } else if (action instanceof Action.Write a) {
            beginAction(WRITE, nowMs, node);
            add(a.number());
            add(a.entry());
        } else if (action instanceof Action.WriteAll a) {
            beginAction(WRITE, nowMs, node);
            add(a.number());
            a.entries().forEach(entry -> add(entry.toByteArray()));
        } else if (action instanceof Action.Roll a) {
            beginAction(ROLL, nowMs, node);
            add(a.number());
            add(a.snapshot().toByteArray());
        } else if (action instanceof Action.Respond a) {
            beginAction(RESPOND, nowMs, node);
            add(a.requestId());
            add(a.response());
        } else if (action instanceof Action.ToSession a) {
            observeSession(nowMs, node, a);
        } else if (action instanceof Action.Post a) {
            beginAction(POST, nowMs, node);
            add(a.requestId());
            add(a.key());
            add(a.json());
        }
        // Log lines may change freely, and a heartbeat that is sent early is hashed as the frames that it sends.
    }

    private void observeSession(final long nowMs, final int node, final Action.ToSession action) {
        if (action instanceof Action.DeliverLine a) {
            beginAction(DELIVER_LINE, nowMs, node);
            add(a.sessionId());
            add(a.line());
        } else if (action instanceof Action.DeliverRecord a) {
            beginAction(DELIVER_RECORD, nowMs, node);
            add(a.sessionId());
            add(a.logRecord().bytes());
        } else if (action instanceof Action.TopicEnded a) {
            beginAction(TOPIC_ENDED, nowMs, node);
            add(a.sessionId());
            add(a.topic());
            add(a.reason());
        } else if (action instanceof Action.MoveSession a) {
            beginAction(MOVE, nowMs, node);
            add(a.sessionId());
            add(a.address());
        } else if (action instanceof Action.CloseSession a) {
            beginAction(CLOSE, nowMs, node);
            add(a.sessionId());
        } else {
            throw new IllegalArgumentException("action is unknown to the digest: " + action);
        }
    }

    private static PeerMessage withoutExplanation(final PeerMessage message) {
        if (message instanceof PeerMessage.VoteReply m) {
            return new PeerMessage.VoteReply(m.group(), m.term(), m.granted(), m.termSeen(), "");
        } else if (message instanceof PeerMessage.PublishReply m) {
            return new PeerMessage.PublishReply(m.requestId(), m.outcome(), m.position(), m.leaderHint(), m.term(), "");
        } else if (message instanceof PeerMessage.ControlReply m) {
            final byte[] body = withoutExplanation(new String(m.body(), UTF_8)).getBytes(UTF_8);
            return new PeerMessage.ControlReply(m.requestId(), m.status(), m.retryAfterMs(), body);
        }
        return message;
    }

    private static String withoutExplanation(final String json) {
        return EXPLANATION.matcher(json).replaceAll("$1\"\"");
    }

    private void beginAction(final byte kind, final long nowMs, final int node) {
        actions++;
        digest.update(kind);
        add(nowMs);
        add(node);
    }

    private void add(final Response response) {
        add(response.status());
        add(response.retryAfterMs());
        add(withoutExplanation(response.json()));
        add(response.code());
        final boolean expires = response.expiry() != null;
        add(expires ? response.expiry().at() : -1);
        if (expires) {
            add(response.expiry().instead());
        }
    }

    private void add(final long value) {
        digest.update(number.putLong(0, value).array());
    }

    private void add(final String text) {
        add(text.getBytes(UTF_8));
    }

    private void add(final byte[] bytes) {
        add(bytes.length);
        digest.update(bytes);
    }
}
