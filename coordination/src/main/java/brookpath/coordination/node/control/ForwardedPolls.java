package brookpath.coordination.node.control;

import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.message.PeerMessage.ConfigurationPoll;
import brookpath.coordination.message.PeerMessage.ConfigurationReply;
import java.util.TreeMap;

/**
 * Configuration polls that this controller forwards to the control leader for processes that cannot reach it
 * themselves: at most one per process. Not thread-safe.
 */
public final class ForwardedPolls {
    private static final int NO_LEADER = 0;

    private final GroupMachine group;
    private final Actions out;
    /** By the process that polled. */
    private final TreeMap<Integer, ConfigurationPoll> inFlight = new TreeMap<>();

    public ForwardedPolls(final GroupMachine group, final Actions out) {
        this.group = group;
        this.out = out;
    }

    /**
     * Forwards the poll if its sender requests that; otherwise replies with the leader's number.
     *
     * @param from the process that the poll came from
     * @param leader the control leader's node number, 0 for none
     */
    public void forwardOrRedirect(final int from, final ConfigurationPoll poll, final int leader) {
        if (poll.relay() && from == poll.node() && leader != NO_LEADER) {
            // The sender cannot reach the leader but this node can. Without forwarding, a partially partitioned leader
            // would make every process that cannot reach it pause
            inFlight.put(from, poll);
            out.send(leader, poll);
        } else {
            redirect(from, poll, leader);
        }
    }

    /** Delivers a reply to the process that polled; a reply to an earlier poll of that process is dropped. */
    public void onReply(final ConfigurationReply reply) {
        final ConfigurationPoll poll = inFlight.get(reply.node());
        if (poll != null && poll.pollId() == reply.pollId()) {
            inFlight.remove(reply.node());
            out.send(reply.node(), reply);
        }
    }

    /** Rejects a forwarded poll that could not be sent, so that its sender polls another controller. */
    public void onUnsent(final ConfigurationPoll poll) {
        if (inFlight.remove(poll.node()) != null) {
            redirect(poll.node(), poll, NO_LEADER);
        }
    }

    /** Rejects all forwarded polls after the connection to a controller broke, since their replies may be lost. */
    public void onSessionLost() {
        inFlight.forEach((node, poll) -> redirect(node, poll, NO_LEADER));
        inFlight.clear();
    }

    private void redirect(final int to, final ConfigurationPoll poll, final int leaderHint) {
        out.send(
                to,
                new ConfigurationReply(
                        poll.pollId(),
                        false,
                        leaderHint,
                        group.term(),
                        0,
                        new byte[0],
                        0,
                        new byte[0],
                        poll.node(),
                        0));
    }
}
