package brookpath.coordination.action;

import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.message.Response;
import brookpath.state.record.LogRecord;
import java.util.ArrayList;
import java.util.List;

/** Collects the actions of one event. */
public final class Actions {
    private List<Action> list = new ArrayList<>();
    private long writes;
    private long bytesSinceRoll;

    public void send(final int node, final PeerMessage message) {
        list.add(new Action.Send(node, message));
    }

    public long write(final byte[] entry) {
        bytesSinceRoll += entry.length;
        list.add(new Action.Write(++writes, entry));
        return writes;
    }

    public void roll(final byte[] snapshot) {
        bytesSinceRoll = 0;
        list.add(new Action.Roll(++writes, snapshot));
    }

    public long bytesSinceRoll() {
        return bytesSinceRoll;
    }

    public long writes() {
        return writes;
    }

    public void heartbeatNow() {
        list.add(new Action.HeartbeatNow());
    }

    public void respond(final long requestId, final Response response) {
        list.add(new Action.Respond(requestId, response));
    }

    public void deliver(final long sessionId, final byte[] line) {
        list.add(new Action.Deliver(sessionId, line));
    }

    public void hand(final long sessionId, final LogRecord logRecord) {
        list.add(new Action.Hand(sessionId, logRecord));
    }

    public void ended(final long sessionId, final String topic, final Response why) {
        list.add(new Action.Ended(sessionId, topic, why));
    }

    public void move(final long sessionId, final String address) {
        list.add(new Action.Move(sessionId, address));
    }

    public void close(final long sessionId, final String why) {
        list.add(new Action.CloseSession(sessionId, why));
    }

    public void post(final long requestId, final String key, final String json) {
        list.add(new Action.Post(requestId, key, json));
    }

    public void note(final String text) {
        list.add(new Action.Note(false, text));
    }

    public void grave(final String text) {
        list.add(new Action.Note(true, text));
    }

    public List<Action> drain() {
        final List<Action> drained = list;
        list = new ArrayList<>();
        return drained;
    }
}
