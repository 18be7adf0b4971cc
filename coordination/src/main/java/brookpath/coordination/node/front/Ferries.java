package brookpath.coordination.node.front;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Actions;
import brookpath.coordination.message.Msg.Publish;
import brookpath.coordination.message.Msg.PublishReply;
import brookpath.coordination.message.Response;
import brookpath.coordination.node.Job;
import brookpath.coordination.path.Path;
import brookpath.coordination.path.PathFinder;
import brookpath.coordination.path.PathFinder.Master;
import jakarta.json.Json;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

/**
 * Publishes on their way to their groups' masters. A group's go in the order in which callers sent them. What a master
 * did not take, or what became unknown when a master or a session was lost, goes again to whoever masters the group
 * then, for the sequence makes a repeat harmless; only a publish whose time is up is given back, as refused where it
 * certainly ran nowhere, else as unsettled.
 */
public final class Ferries {
    private static final int MOST = 4_096;

    private static final class Ferry {
        final Job.Publish job;
        final Path path;
        final long horizon;
        final long specVersion;
        Master to = Master.NONE;
        /** It was sent and nothing certain came back, so it may be in a log. */
        boolean doubt;

        String why = "the group has no master just now";

        Ferry(final Job.Publish job, final Path path, final long specVersion, final long horizon) {
            this.job = job;
            this.path = path;
            this.specVersion = specVersion;
            this.horizon = horizon;
        }
    }

    /** The ferries of one group, in their order. */
    private static final class Pier {
        final TreeMap<Long, Ferry> ferries = new TreeMap<>();
        /** Whom a refusal named, until the beats say the same or something newer. */
        int hint;

        long hintUntil;
        long pausedUntil = Long.MIN_VALUE;
        int pauses;
    }

    private final Tempo tempo;
    private final LongFunction<PathFinder> paths;
    private final LongSupplier ids;
    private final Actions out;
    private final TreeMap<Integer, Pier> piers = new TreeMap<>();
    private final Map<Long, Integer> groupOf = new HashMap<>();
    /** Since when groups have had no master that this front knows of. */
    private final Map<Integer, Long> masterlessSince = new HashMap<>();

    private long nextWatch = Long.MIN_VALUE;

    /** @param ids never the same twice, and rising */
    public Ferries(final Tempo tempo, final LongFunction<PathFinder> paths, final LongSupplier ids, final Actions out) {
        this.tempo = tempo;
        this.paths = paths;
        this.ids = ids;
        this.out = out;
    }

    public int size() {
        return groupOf.size();
    }

    /** Whether something waits for a wakeup rather than for an answer. */
    public boolean restless() {
        return piers.values().stream()
                .anyMatch(p -> (p.pauses > 0 && !p.ferries.isEmpty())
                        || p.ferries.values().stream().anyMatch(f -> f.to.node() == 0));
    }

    public void add(
            final Job.Publish job, final Path path, final long specVersion, final long answerMs, final long now) {
        if (groupOf.size() >= MOST) {
            refused(job, "busy", "too many publishes are under way here");
            return;
        }
        if (hopeless(path.group(), now)) {
            refused(job, "master", "group " + path.group() + " has no master just now");
            return;
        }
        final long patience = answerMs == 0 ? tempo.ferryHorizon() : Math.min(tempo.ferryHorizon(), answerMs * 3 / 4);
        final long id = ids.getAsLong();
        groupOf.put(id, path.group());
        final Pier pier = piers.computeIfAbsent(path.group(), k -> new Pier());
        pier.ferries.put(id, new Ferry(job, path, specVersion, now + patience));
        drive(path.group(), pier, now);
    }

    /**
     * Looks which groups have a master: one that has been without for longer than an election takes is not waited for.
     */
    public void watch(final int groups, final long now) {
        if (now < nextWatch) {
            return;
        }
        nextWatch = now + tempo.beat() / 2;
        final PathFinder finder = paths.apply(now);
        for (int g = 0; g < groups; g++) {
            if (finder.master(g, now).node() == 0) {
                masterlessSince.putIfAbsent(g, now);
            } else {
                masterlessSince.remove(g);
            }
        }
    }

    private boolean hopeless(final int group, final long now) {
        return now - masterlessSince.getOrDefault(group, now) > tempo.deliverMs() / 2;
    }

    public void tick(final long now) {
        piers.forEach((group, pier) -> {
            for (final Iterator<Map.Entry<Long, Ferry>> it =
                            pier.ferries.entrySet().iterator();
                    it.hasNext(); ) {
                final Map.Entry<Long, Ferry> e = it.next();
                final Ferry f = e.getValue();
                if (now >= f.horizon || hopeless(group, now)) {
                    it.remove();
                    groupOf.remove(e.getKey());
                    if (f.doubt || f.to.node() != 0) {
                        unsettled(f.job, "no word from the master in time: " + f.why);
                    } else {
                        refused(f.job, "master", f.why);
                    }
                }
            }
            drive(group, pier, now);
        });
        piers.values().removeIf(p -> p.ferries.isEmpty() && now >= p.pausedUntil);
    }

    /**
     * Sends what is not under way to the group's master, in order, and again what went to a master that is none any
     * more.
     */
    private void drive(final int group, final Pier pier, final long now) {
        if (pier.ferries.isEmpty() || now < pier.pausedUntil) {
            return;
        }
        Master master = paths.apply(now).master(group, now);
        if (pier.hint != 0 && now < pier.hintUntil && master.node() != pier.hint) {
            // why: an epoch above all, so that what the beats tell of the old master does not turn the ferries back
            master = new Master(pier.hint, Long.MAX_VALUE);
        }
        if (master.node() == 0) {
            return;
        }
        for (final Map.Entry<Long, Ferry> e : pier.ferries.entrySet()) {
            final Ferry f = e.getValue();
            if (f.to.node() == master.node()) {
                continue;
            }
            // why: it may lie in the log of the one it went to first
            f.doubt |= f.to.node() != 0;
            f.to = master;
            out.send(
                    master.node(),
                    new Publish(
                            e.getKey(),
                            group,
                            f.specVersion,
                            f.job.seq(),
                            f.path.tenant(),
                            f.job.topic(),
                            f.job.sender(),
                            f.job.text()));
        }
    }

    public void reply(final int from, final PublishReply m, final long now) {
        final Integer group = groupOf.get(m.jobId());
        final Pier pier = group == null ? null : piers.get(group);
        final Ferry f = pier == null ? null : pier.ferries.get(m.jobId());
        if (f == null) {
            return;
        }
        switch (m.outcome()) {
            case PublishReply.ACCEPTED -> {
                done(pier, m.jobId());
                pier.pauses = 0;
                out.respond(
                        f.job.jobId(),
                        new Response(200, 0, "{\"outcome\":\"accepted\",\"position\":" + m.position() + "}"));
            }
            case PublishReply.REFUSED_FOR_GOOD -> {
                done(pier, m.jobId());
                if (f.doubt) {
                    // why: an earlier attempt may lie in a log, and its sequence may only have been forgotten
                    unsettled(f.job, "node " + from + " said " + m.why() + ", after an attempt whose end is unknown");
                } else {
                    note(f.job, "node " + from + " said " + m.why());
                    out.respond(
                            f.job.jobId(), new Response(409, 0, outcome("refused", "sequence", m.why()), "sequence"));
                }
            }
            default -> {
                if (f.to.node() != from) {
                    // why: an old word of one that it has left since
                    return;
                }
                f.why = m.why();
                f.doubt |= m.outcome() == PublishReply.UNSETTLED;
                if (m.outcome() == PublishReply.NOT_MASTER
                        && m.masterHint() != 0
                        && m.masterHint() != from
                        && pier.hint != m.masterHint()) {
                    pier.hint = m.masterHint();
                    pier.hintUntil = now + tempo.down();
                } else {
                    pier.hint = m.outcome() == PublishReply.NOT_MASTER ? 0 : pier.hint;
                    pause(pier, now);
                }
                // why: those behind it must not pass it, for a lower sequence would then be refused for good
                from(pier, m.jobId(), from);
                drive(group, pier, now);
            }
        }
    }

    /** From this ferry on, what is with the node goes again. */
    private static void from(final Pier pier, final long id, final int node) {
        pier.ferries.tailMap(id, true).forEach((k, f) -> {
            if (f.to.node() == node) {
                f.doubt |= k != id;
                f.to = Master.NONE;
            }
        });
    }

    private void pause(final Pier pier, final long now) {
        pier.pausedUntil = now + (tempo.ferryPause() << Math.min(pier.pauses++, 3));
    }

    /** It never left for this node, so nothing is in doubt by this attempt. */
    public void unsent(final int to, final Publish m, final long now) {
        final Integer group = groupOf.get(m.jobId());
        final Pier pier = group == null ? null : piers.get(group);
        final Ferry f = pier == null ? null : pier.ferries.get(m.jobId());
        // why: late word of an earlier attempt says nothing of the one that is under way
        if (f != null && f.to.node() == to) {
            f.to = Master.NONE;
            f.why = "no session to the group's master";
            pause(pier, now);
        }
    }

    public void sessionLost(final int node, final long now) {
        piers.forEach((group, pier) -> {
            boolean any = false;
            for (final Ferry f : pier.ferries.values()) {
                if (f.to.node() == node) {
                    f.doubt = true;
                    f.to = Master.NONE;
                    f.why = "the session with node " + node + " broke";
                    any = true;
                }
            }
            if (any) {
                pause(pier, now);
            }
        });
    }

    private void done(final Pier pier, final long id) {
        pier.ferries.remove(id);
        groupOf.remove(id);
    }

    private void refused(final Job.Publish job, final String code, final String why) {
        note(job, why);
        out.respond(job.jobId(), busy(tempo, code, why));
    }

    private void unsettled(final Job.Publish job, final String why) {
        note(job, why);
        out.respond(
                job.jobId(),
                new Response(504, tempo.retryAfterMs(), outcome("unsettled", "unsettled", why), "unsettled"));
    }

    private void note(final Job.Publish j, final String how) {
        // why: the ring is what is left to explain a job from afterwards; accepted ones explain themselves
        out.note("publish " + j.topic() + " " + j.sender() + "/" + j.seq() + ": " + how);
    }

    /** Certainly not done; come back after the time that it names. */
    public static Response busy(final Tempo tempo, final String code, final String why) {
        return new Response(503, tempo.retryAfterMs(), outcome("refused", code, why), code);
    }

    static String outcome(final String outcome, final String code, final String why) {
        return Json.createObjectBuilder()
                .add("outcome", outcome)
                .add("code", code)
                .add("why", why)
                .build()
                .toString();
    }
}
