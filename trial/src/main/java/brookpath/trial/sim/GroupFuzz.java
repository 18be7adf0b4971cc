package brookpath.trial.sim;

import brookpath.coordination.Tempo;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.beat.BeatMachine;
import brookpath.coordination.beat.Pledges;
import brookpath.coordination.group.Copies;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.message.Msg;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.Pack;
import brookpath.state.record.Rec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One replication group alone, on a network that loses, delays and reorders far more than TCP would, with members that
 * freeze, lose power and come back, always in numbers that may happen. Looks at the inside: masters per epoch, accepted
 * records, acting masters.
 */
public final class GroupFuzz {
    private static final int GROUP = 0;

    /**
     * How the network and the members behave.
     *
     * @param dropPerMille of messages
     * @param calmMs between failures
     * @param maxLag between threads
     * @param spares nodes that are no members at first; where there are any, the masters change the membership
     */
    public record Style(
            int members,
            int dropPerMille,
            long maxDelay,
            long calmMs,
            long lengthMs,
            int lagPerMille,
            int maxLag,
            int spares) {}

    /** What one run came to. */
    public record Outcome(
            long seed,
            List<String> violations,
            long accepted,
            int masters,
            int crashes,
            int changes,
            List<String> trace) {}

    private record Due(long at, long order, Runnable what) {}

    private final class Unit {
        final int id;
        final List<byte[]> disk = new ArrayList<>();
        final List<byte[]> unsynced = new ArrayList<>();
        Actions out;
        Actions beatOut;
        GroupMachine g;
        BeatMachine beats;
        int life;
        boolean alive;
        long frozenUntil;
        long syncMs = 1;
        boolean syncing;
        long tableLagsUntil;
        long entriesLagUntil;
        int lastRole;
        String lastWhy = "";
        long lastAccepted;
        TreeSet<Integer> siblings;

        Unit(final int id) {
            this.id = id;
        }

        void start(final boolean first) {
            life++;
            alive = true;
            syncing = false;
            lastRole = GroupMachine.SLAVE;
            out = new Actions();
            beatOut = new Actions();
            final Pledges pledges = new Pledges(tempo.down());
            beats = new BeatMachine(tempo, tempo.beat(), pledges);
            siblings = null;
            g = new GroupMachine(GROUP, id, tempo, 1, seed, () -> new TopicState(t -> 600_000, 10_000), pledges, out);
            unsynced.clear();
            for (final byte[] entry : disk) {
                final Pack in = Pack.reader(entry);
                in.num();
                g.replay(in, now);
            }
            final boolean founder = Membership.find(members, id) != null;
            if (first && founder) {
                g.found();
            }
            if (founder || g.membership().holds(id)) {
                g.configure(members, 1, true, now);
            }
            meetMembers();
            obey();
            tick(life);
        }

        void tick(final int ofLife) {
            at(tempo.tick(), () -> {
                if (alive && life == ofLife) {
                    run(() -> {});
                    tick(ofLife);
                }
            });
        }

        /** Beats go to whom the newest membership here names, as the nodes have it. */
        private void meetMembers() {
            final TreeSet<Integer> others = new TreeSet<>();
            if (g.membership().holds(id)) {
                g.membership().voters().forEach(m -> others.add(m.node()));
                g.membership().learners().forEach(m -> others.add(m.node()));
            }
            others.remove(id);
            if (!others.equals(siblings)) {
                siblings = others;
                beats.siblings(others);
            }
        }

        void run(final Runnable event) {
            if (!alive) {
                return;
            }
            if (now < frozenUntil) {
                final int ofLife = life;
                at(frozenUntil - now, () -> {
                    if (life == ofLife) {
                        run(event);
                    }
                });
                return;
            }
            tellListener();
            beats.tick(now, beatOut);
            event.run();
            takeTable();
            meetMembers();
            obey();
            look(this);
        }

        /** The listener and the state are two threads: each takes the other's newest, now and then late. */
        void takeTable() {
            if (now >= tableLagsUntil) {
                tableLagsUntil = now + lag();
                g.tick(now, beats.table());
            }
        }

        private void tellListener() {
            if (now >= entriesLagUntil) {
                entriesLagUntil = now + lag();
                beats.own(g.membership().holds(id) ? List.of(g.entry(now)) : List.of());
            }
        }

        private long lag() {
            return rnd.nextInt(1000) < style.lagPerMille ? rnd.nextInt(style.maxLag) : 0;
        }

        void obey() {
            boolean beatNow = false;
            final List<Action> actions = new ArrayList<>(out.drain());
            actions.addAll(beatOut.drain());
            for (final Action a : actions) {
                if (a instanceof Action.Send s) {
                    send(id, s.node(), s.msg());
                } else if (a instanceof Action.Write w) {
                    unsynced.add(w.entry());
                    last = w.number();
                } else if (a instanceof Action.BeatNow) {
                    beatNow = true;
                } else if (a instanceof Action.Note n && n.grave()) {
                    violation(n.text());
                }
            }
            if (beatNow) {
                tellListener();
                beats.beatNow(now, beatOut);
                obey();
            }
            sync();
        }

        private long last;

        private void sync() {
            if (syncing || unsynced.isEmpty()) {
                return;
            }
            syncing = true;
            final int ofLife = life;
            final int n = unsynced.size();
            final long upTo = last;
            at(syncMs + rnd.nextInt(3), () -> {
                if (!alive || life != ofLife) {
                    return;
                }
                disk.addAll(unsynced.subList(0, n));
                unsynced.subList(0, n).clear();
                syncing = false;
                run(() -> g.synced(upTo, now));
                sync();
            });
        }
    }

    private final Tempo tempo = Tempo.DEFAULT;
    private final long seed;
    private final Style style;
    private final SplittableRandom rnd;
    private final List<Member> members = new ArrayList<>();
    private final TreeMap<Integer, Unit> units = new TreeMap<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final TreeMap<Long, Integer> masterOf = new TreeMap<>();
    private final TreeMap<Long, byte[]> accepted = new TreeMap<>();
    private final TreeMap<Long, Long> acceptedIn = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    /** The newest membership that an acting master has accepted, as the other nodes are told of it. */
    private Membership told = Membership.NONE;

    private int crashes;
    private int changes;
    private long now = 1_000;
    private long order;
    private int cutUnit;
    private int cutPair;

    private GroupFuzz(final long seed, final Style style) {
        this.seed = seed;
        this.style = style;
        rnd = new SplittableRandom(seed);
        for (int i = 1; i <= style.members; i++) {
            members.add(new Member(i, 50 + 10 * rnd.nextInt(3), ""));
        }
    }

    public static Outcome live(final long seed, final Style style) {
        final GroupFuzz f = new GroupFuzz(seed, style);
        return f.live();
    }

    private void at(final long in, final Runnable what) {
        queue.add(new Due(now + Math.max(0, in), order++, what));
    }

    private void violation(final String what) {
        if (violations.size() < 10) {
            violations.add(now + ": " + what);
        }
    }

    private void send(final int from, final int to, final Msg msg) {
        if (rnd.nextInt(1000) < style.dropPerMille
                || (from == cutUnit && rnd.nextInt(3) > 0)
                || to == cutUnit
                || cutPair == ((1 << from) | (1 << to))) {
            return;
        }
        final long delay = rnd.nextInt(20) == 0 ? rnd.nextLong(style.maxDelay + 1) : rnd.nextInt(3);
        at(delay, () -> {
            final Unit u = units.get(to);
            u.run(() -> {
                if (msg instanceof Msg.Beat beat) {
                    u.beats.onBeat(from, beat, now, u.beatOut);
                    u.takeTable();
                } else {
                    u.g.on(from, msg, now);
                }
            });
        });
    }

    private void look(final Unit u) {
        final GroupMachine g = u.g;
        if (g.role() == GroupMachine.MASTER && u.lastRole != GroupMachine.MASTER) {
            final Integer other = masterOf.put(g.epoch(), u.id);
            if (other != null && other != u.id) {
                violation("epoch " + g.epoch() + " has two masters, " + other + " and " + u.id);
            }
            accepted.forEach((lsn, bytes) -> {
                // why: a go that was won late, in an older epoch, may lack what a later master accepted; it cannot act
                if (acceptedIn.get(lsn) < g.epoch()
                        && (lsn > g.endLsn()
                                || (lsn > g.baseLsn()
                                        && !Arrays.equals(g.rec(lsn).bytes(), bytes)))) {
                    violation("master " + u.id + " of epoch " + g.epoch() + " lacks accepted record " + lsn);
                }
            });
        }
        if (g.role() == GroupMachine.MASTER
                && u.lastRole == GroupMachine.MASTER
                && g.accepted() > u.lastAccepted
                && g.accepted() < g.openLsn()) {
            // why: what that can do shows only after three more changes of master, so the rule itself is looked at
            violation("master " + u.id + " of epoch " + g.epoch() + " calls " + g.accepted()
                    + " accepted before its own record at " + g.openLsn());
        }
        u.lastAccepted = g.accepted();
        u.lastRole = g.role();
        if (!g.why().equals(u.lastWhy)) {
            u.lastWhy = g.why();
            trace.add(now + " member " + u.id + " epoch " + g.epoch() + " accepted " + g.accepted() + " synced "
                    + g.syncedLsn() + " end " + g.endLsn() + ": " + g.why());
        }
        for (long lsn = accepted.isEmpty() ? 1 : Math.max(1, accepted.lastKey() - 3); lsn <= g.accepted(); lsn++) {
            if (lsn > g.baseLsn()) {
                final byte[] other = accepted.putIfAbsent(lsn, g.rec(lsn).bytes());
                acceptedIn.putIfAbsent(lsn, g.epoch());
                if (other != null && !Arrays.equals(other, g.rec(lsn).bytes())) {
                    violation("member " + u.id + " holds another record as accepted at " + lsn);
                }
            }
        }
        int acting = 0;
        for (final Unit other : units.values()) {
            acting += other.alive && now >= other.frozenUntil && other.g.mayAct(now) ? 1 : 0;
        }
        if (acting > 1) {
            violation(acting + " masters act at once");
        }
    }

    private void publish() {
        at(5 + rnd.nextInt(30), () -> {
            for (final Unit u : units.values()) {
                if (u.alive && now >= u.frozenUntil && u.g.mayAct(now)) {
                    u.run(() -> {
                        if (u.g.mayAct(now)) {
                            u.g.append(
                                    Rec.PUBLISH,
                                    Rec.publishBody(order, 2, "t", "s/t", "a" + u.id, "x" + order),
                                    now,
                                    now);
                        }
                    });
                }
            }
            publish();
        });
    }

    private void fault() {
        at(style.calmMs / 2 + rnd.nextLong(style.calmMs), () -> {
            final Unit u = units.get(1 + rnd.nextInt(units.size()));
            switch (rnd.nextInt(7)) {
                case 0, 1 -> {
                    // why: often everyone loses power, since what is synced must outlast even that
                    for (final Unit each : rnd.nextInt(3) == 0 ? units.values() : List.of(u)) {
                        if (each.alive) {
                            crashes++;
                            trace.add(now + " member " + each.id + " loses power at synced " + each.g.syncedLsn()
                                    + " of " + each.g.endLsn());
                            each.alive = false;
                            each.life++;
                            // why: a member that is back at once has forgotten what it answered, and others still count
                            // on it
                            at(rnd.nextLong(rnd.nextBoolean() ? 150 : 1_500), () -> each.start(false));
                        }
                    }
                }
                case 2 -> u.frozenUntil = now + (rnd.nextBoolean() ? rnd.nextLong(2_500) : 350 + rnd.nextLong(400));
                case 3 -> u.syncMs = rnd.nextInt(400);
                case 4 -> {
                    cutUnit = u.id;
                    at(rnd.nextLong(3_000), () -> cutUnit = 0);
                }
                case 5 -> {
                    // why: two that do not hear each other while a third hears both
                    cutPair = (1 << u.id) | (1 << (1 + rnd.nextInt(units.size())));
                    at(rnd.nextLong(3_000), () -> cutPair = 0);
                }
                default -> units.values().forEach(each -> each.syncMs = 1);
            }
            fault();
        });
    }

    /** Masters try one step after the other, sensible or not, and all nodes hear of what was accepted, late. */
    private void reshape() {
        at(20 + rnd.nextInt(400), () -> {
            for (final Unit u : units.values()) {
                if (u.alive && now >= u.frozenUntil && u.g.role() == GroupMachine.MASTER) {
                    u.run(() -> step(u.g));
                }
                if (u.alive
                        && rnd.nextInt(3) == 0
                        && (told.holds(u.id) || u.g.membership().holds(u.id))) {
                    u.run(() -> {
                        if (told.version() > u.g.membership().version()) {
                            u.g.configure(told, true, now);
                        }
                    });
                }
            }
            reshape();
        });
    }

    private void step(final GroupMachine g) {
        final Membership m = g.membership();
        if (g.mayAct(now) && g.membershipSettled() && m.version() > told.version()) {
            told = m;
        }
        final Membership next = proposal(m);
        final long before = g.accepted();
        if (next != null && next.voters().size() <= style.members + 1 && g.change(next, now, now)) {
            changes++;
            judge(m, next, before);
        }
    }

    /** Some next membership, good or bad; null for none. */
    private Membership proposal(final Membership m) {
        final Member any = new Member(1 + rnd.nextInt(units.size()), 50, "");
        if (!m.holds(any.node())) {
            return m.withLearner(any);
        }
        if (Membership.find(m.learners(), any.node()) == null) {
            return m.voters().size() > 3 ? m.withoutVoter(any.node()) : null;
        }
        final Membership promoted = m.promoted(any);
        final int other = m.voters().get(rnd.nextInt(m.voters().size())).node();
        return rnd.nextInt(4) > 0
                ? promoted
                : new Membership(
                        promoted.version(), promoted.withoutVoter(other).voters(), promoted.learners());
    }

    /** What a change must not do, though its harm would show only after further failures. */
    private void judge(final Membership from, final Membership to, final long acceptedBefore) {
        final List<Member> joining = Membership.missing(to.voters(), from.voters());
        final List<Member> leaving = Membership.missing(from.voters(), to.voters());
        if (joining.size() + leaving.size() > 1) {
            violation("several voters change at once, from " + from + " to " + to);
        }
        if (joining.stream().anyMatch(j -> !holds(j, acceptedBefore))) {
            violation("a voter joins without its copy, from " + from + " to " + to);
        }
        final long copies =
                to.voters().stream().filter(v -> holds(v, acceptedBefore)).count();
        if (copies < Copies.floor(to.voters().size(), 1)) {
            violation("only " + copies + " of the next voters hold what is accepted, from " + from + " to " + to);
        }
    }

    private boolean holds(final Member member, final long lsn) {
        final GroupMachine g = units.get(member.node()).g;
        return g != null && !g.lost() && g.syncedLsn() >= lsn;
    }

    private Outcome live() {
        for (int node = 1; node <= style.members + style.spares; node++) {
            final Unit u = new Unit(node);
            units.put(node, u);
            at(rnd.nextInt(300), () -> u.start(true));
        }
        at(400, () -> {
            publish();
            fault();
            if (style.spares > 0) {
                reshape();
            }
        });
        final long end = now + style.lengthMs;
        while (queue.peek().at < end && violations.isEmpty()) {
            final Due due = queue.poll();
            now = due.at;
            due.what.run();
        }
        return new Outcome(seed, violations, accepted.size(), masterOf.size(), crashes, changes, trace);
    }

    /** {@code FIRST COUNT}: many seeds in several styles; exits 1 where one had a violation. */
    public static void main(final String[] args) {
        final long first = args.length > 0 ? Long.parseLong(args[0]) : 1;
        final long count = args.length > 1 ? Long.parseLong(args[1]) : 100;
        final long[] bad = new long[1];
        final long[] work = new long[3];
        java.util.stream.LongStream.range(first, first + count).parallel().forEach(s -> {
            for (final Style style : STYLES) {
                final Outcome o = live(s, style);
                synchronized (bad) {
                    work[0] += o.accepted;
                    work[1] += o.masters;
                    work[2] += o.changes;
                    if (!o.violations.isEmpty()) {
                        bad[0]++;
                        if (count == 1) {
                            o.trace
                                    .subList(Math.max(0, o.trace.size() - 60), o.trace.size())
                                    .forEach(System.out::println);
                        }
                        System.out.println("  " + o.violations.get(0) + " (seed " + s + ", " + style + ")");
                    }
                }
            }
        });
        System.out.println(count + " seeds, " + STYLES.size() + " styles: " + work[0] + " accepted, " + work[1]
                + " masters, " + work[2] + " membership changes, " + bad[0] + " bad");
        System.exit(bad[0] == 0 ? 0 : 1);
    }

    public static final List<Style> STYLES = List.of(
            new Style(3, 30, 400, 900, 60_000, 30, 40, 0),
            new Style(5, 100, 1_500, 500, 60_000, 30, 40, 0),
            new Style(3, 5, 3_000, 2_500, 60_000, 30, 40, 0),
            new Style(5, 250, 300, 1_500, 60_000, 30, 40, 0),
            // why: threads that are put aside for long, amid freezes about as long as the detection time, show what one
            // thread must not assume of the other
            new Style(3, 0, 3, 700, 60_000, 300, 200, 0),
            new Style(5, 50, 300, 150, 30_000, 30, 40, 0),
            new Style(3, 20, 300, 900, 60_000, 30, 40, 2),
            new Style(3, 60, 800, 400, 60_000, 30, 40, 3),
            new Style(4, 30, 300, 600, 60_000, 30, 40, 2));
}
