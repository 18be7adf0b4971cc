package brookpath.testing.sim;

import brookpath.coordination.TimingBounds;
import brookpath.coordination.action.Action;
import brookpath.coordination.action.Actions;
import brookpath.coordination.group.GroupMachine;
import brookpath.coordination.group.Member;
import brookpath.coordination.group.Membership;
import brookpath.coordination.group.Quorums;
import brookpath.coordination.heartbeat.HeartbeatMonitor;
import brookpath.coordination.heartbeat.HeartbeatPromises;
import brookpath.coordination.message.PeerMessage;
import brookpath.coordination.topic.TopicState;
import brookpath.state.record.LogRecord;
import brookpath.state.record.PackedBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One replication group alone, on a network that loses, delays and reorders far more than TCP would, with members that
 * freeze, lose power and come back, always in numbers that may happen. Looks at the inside: leaders per term, committed
 * records, acting leaders.
 */
public final class GroupFuzz {
    private static final int GROUP = 0;

    /**
     * How the network and the members behave.
     *
     * @param dropPerMille of messages
     * @param calmMs between failures
     * @param maxLag between threads
     * @param spares nodes that are no members at first; where there are any, the leaders change the membership
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
            long committed,
            int leaders,
            int crashes,
            int changes,
            List<String> trace) {}

    private record Due(long at, long order, Runnable what) {}

    private final class Unit {
        final int id;
        final List<byte[]> disk = new ArrayList<>();
        final List<byte[]> unsynced = new ArrayList<>();
        Actions out;
        Actions heartbeatOut;
        GroupMachine g;
        HeartbeatMonitor heartbeats;
        int life;
        boolean alive;
        long frozenUntil;
        long syncMs = 1;
        boolean syncing;
        long tableLagsUntil;
        long entriesLagUntil;
        int lastRole;
        String lastWhy = "";
        long lastCommitted;
        TreeSet<Integer> peers;

        Unit(final int id) {
            this.id = id;
        }

        void start(final boolean first) {
            life++;
            alive = true;
            syncing = false;
            lastRole = GroupMachine.FOLLOWER;
            out = new Actions();
            heartbeatOut = new Actions();
            final HeartbeatPromises promises = new HeartbeatPromises(timing.down());
            heartbeats = new HeartbeatMonitor(timing, timing.heartbeat(), promises);
            peers = null;
            g = new GroupMachine(GROUP, id, timing, 1, seed, () -> new TopicState(t -> 600_000, 10_000), promises, out);
            unsynced.clear();
            for (final byte[] entry : disk) {
                final PackedBuffer in = PackedBuffer.reader(entry);
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
            at(timing.tick(), () -> {
                if (alive && life == ofLife) {
                    run(() -> {});
                    tick(ofLife);
                }
            });
        }

        /** Heartbeats go to whom the newest membership here names, as the nodes have it. */
        private void meetMembers() {
            final TreeSet<Integer> others = new TreeSet<>();
            if (g.membership().holds(id)) {
                g.membership().voters().forEach(m -> others.add(m.node()));
                g.membership().learners().forEach(m -> others.add(m.node()));
            }
            others.remove(id);
            if (!others.equals(peers)) {
                peers = others;
                heartbeats.peers(others);
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
            heartbeats.tick(now, heartbeatOut);
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
                g.tick(now, heartbeats.table());
            }
        }

        private void tellListener() {
            if (now >= entriesLagUntil) {
                entriesLagUntil = now + lag();
                heartbeats.own(g.membership().holds(id) ? List.of(g.entry(now)) : List.of());
            }
        }

        private long lag() {
            return random.nextInt(1000) < style.lagPerMille ? random.nextInt(style.maxLag) : 0;
        }

        void obey() {
            boolean heartbeatNow = false;
            final List<Action> actions = new ArrayList<>(out.drain());
            actions.addAll(heartbeatOut.drain());
            for (final Action a : actions) {
                if (a instanceof Action.Send s) {
                    send(id, s.node(), s.message());
                } else if (a instanceof Action.Write w) {
                    unsynced.add(w.entry());
                    last = w.number();
                } else if (a instanceof Action.HeartbeatNow) {
                    heartbeatNow = true;
                } else if (a instanceof Action.Note n && n.isError()) {
                    violation(n.text());
                }
            }
            if (heartbeatNow) {
                tellListener();
                heartbeats.heartbeatNow(now, heartbeatOut);
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
            at(syncMs + random.nextInt(3), () -> {
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

    private final TimingBounds timing = TimingBounds.DEFAULT;
    private final long seed;
    private final Style style;
    private final SplittableRandom random;
    private final List<Member> members = new ArrayList<>();
    private final TreeMap<Integer, Unit> units = new TreeMap<>();
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
    private final TreeMap<Long, Integer> leaderOf = new TreeMap<>();
    private final TreeMap<Long, byte[]> committed = new TreeMap<>();
    private final TreeMap<Long, Long> committedIn = new TreeMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();
    /** The newest membership that an acting leader has committed, as the other nodes are told of it. */
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
        random = new SplittableRandom(seed);
        for (int i = 1; i <= style.members; i++) {
            members.add(new Member(i, 50 + 10 * random.nextInt(3), ""));
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

    private void send(final int from, final int to, final PeerMessage message) {
        if (random.nextInt(1000) < style.dropPerMille
                || (from == cutUnit && random.nextInt(3) > 0)
                || to == cutUnit
                || cutPair == ((1 << from) | (1 << to))) {
            return;
        }
        final long delay = random.nextInt(20) == 0 ? random.nextLong(style.maxDelay + 1) : random.nextInt(3);
        at(delay, () -> {
            final Unit u = units.get(to);
            u.run(() -> {
                if (message instanceof PeerMessage.Heartbeat heartbeat) {
                    u.heartbeats.onHeartbeat(from, heartbeat, now, u.heartbeatOut);
                    u.takeTable();
                } else {
                    u.g.on(from, message, now);
                }
            });
        });
    }

    private void look(final Unit u) {
        final GroupMachine g = u.g;
        if (g.role() == GroupMachine.LEADER && u.lastRole != GroupMachine.LEADER) {
            final Integer other = leaderOf.put(g.term(), u.id);
            if (other != null && other != u.id) {
                violation("epoch " + g.term() + " has two masters, " + other + " and " + u.id);
            }
            committed.forEach((index, bytes) -> {
                // why: a go that was won late, in an older term, may lack what a later leader committed; it cannot act
                if (committedIn.get(index) < g.term()
                        && (index > g.endIndex()
                                || (index > g.baseIndex()
                                        && !Arrays.equals(g.logRecord(index).bytes(), bytes)))) {
                    violation("master " + u.id + " of epoch " + g.term() + " lacks accepted record " + index);
                }
            });
        }
        if (g.role() == GroupMachine.LEADER
                && u.lastRole == GroupMachine.LEADER
                && g.committed() > u.lastCommitted
                && g.committed() < g.openIndex()) {
            // why: what that can do shows only after three more changes of leader, so the rule itself is looked at
            violation("master " + u.id + " of epoch " + g.term() + " calls " + g.committed()
                    + " accepted before its own record at " + g.openIndex());
        }
        u.lastCommitted = g.committed();
        u.lastRole = g.role();
        if (!g.why().equals(u.lastWhy)) {
            u.lastWhy = g.why();
            trace.add(now + " member " + u.id + " epoch " + g.term() + " accepted " + g.committed() + " synced "
                    + g.syncedIndex() + " end " + g.endIndex() + ": " + g.why());
        }
        for (long index = committed.isEmpty() ? 1 : Math.max(1, committed.lastKey() - 3);
                index <= g.committed();
                index++) {
            if (index > g.baseIndex()) {
                final byte[] other =
                        committed.putIfAbsent(index, g.logRecord(index).bytes());
                committedIn.putIfAbsent(index, g.term());
                if (other != null && !Arrays.equals(other, g.logRecord(index).bytes())) {
                    violation("member " + u.id + " holds another record as accepted at " + index);
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
        at(5 + random.nextInt(30), () -> {
            for (final Unit u : units.values()) {
                if (u.alive && now >= u.frozenUntil && u.g.mayAct(now)) {
                    u.run(() -> {
                        if (u.g.mayAct(now)) {
                            u.g.append(
                                    LogRecord.PUBLISH,
                                    LogRecord.publishBody(order, 2, "t", "s/t", "a" + u.id, "x" + order),
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
        at(style.calmMs / 2 + random.nextLong(style.calmMs), () -> {
            final Unit u = units.get(1 + random.nextInt(units.size()));
            switch (random.nextInt(7)) {
                case 0, 1 -> {
                    // why: often everyone loses power, since what is synced must outlast even that
                    for (final Unit each : random.nextInt(3) == 0 ? units.values() : List.of(u)) {
                        if (each.alive) {
                            crashes++;
                            trace.add(now + " member " + each.id + " loses power at synced " + each.g.syncedIndex()
                                    + " of " + each.g.endIndex());
                            each.alive = false;
                            each.life++;
                            // why: a member that is back at once has forgotten what it answered, and others still count
                            // on it
                            at(random.nextLong(random.nextBoolean() ? 150 : 1_500), () -> each.start(false));
                        }
                    }
                }
                case 2 ->
                    u.frozenUntil = now + (random.nextBoolean() ? random.nextLong(2_500) : 350 + random.nextLong(400));
                case 3 -> u.syncMs = random.nextInt(400);
                case 4 -> {
                    cutUnit = u.id;
                    at(random.nextLong(3_000), () -> cutUnit = 0);
                }
                case 5 -> {
                    // why: two that do not hear each other while a third hears both
                    cutPair = (1 << u.id) | (1 << (1 + random.nextInt(units.size())));
                    at(random.nextLong(3_000), () -> cutPair = 0);
                }
                default -> units.values().forEach(each -> each.syncMs = 1);
            }
            fault();
        });
    }

    /** Leaders try one step after the other, sensible or not, and all nodes hear of what was committed, late. */
    private void reshape() {
        at(20 + random.nextInt(400), () -> {
            for (final Unit u : units.values()) {
                if (u.alive && now >= u.frozenUntil && u.g.role() == GroupMachine.LEADER) {
                    u.run(() -> step(u.g));
                }
                if (u.alive
                        && random.nextInt(3) == 0
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
        final long before = g.committed();
        if (next != null && next.voters().size() <= style.members + 1 && g.change(next, now, now)) {
            changes++;
            judge(m, next, before);
        }
    }

    /** Some next membership, good or bad; null for none. */
    private Membership proposal(final Membership m) {
        final Member any = new Member(1 + random.nextInt(units.size()), 50, "");
        if (!m.holds(any.node())) {
            return m.withLearner(any);
        }
        if (Membership.find(m.learners(), any.node()) == null) {
            return m.voters().size() > 3 ? m.withoutVoter(any.node()) : null;
        }
        final Membership promoted = m.promoted(any);
        final int other = m.voters().get(random.nextInt(m.voters().size())).node();
        return random.nextInt(4) > 0
                ? promoted
                : new Membership(
                        promoted.version(), promoted.withoutVoter(other).voters(), promoted.learners());
    }

    /** What a change must not do, though its harm would show only after further failures. */
    private void judge(final Membership from, final Membership to, final long committedBefore) {
        final List<Member> joining = Membership.missing(to.voters(), from.voters());
        final List<Member> leaving = Membership.missing(from.voters(), to.voters());
        if (joining.size() + leaving.size() > 1) {
            violation("several voters change at once, from " + from + " to " + to);
        }
        if (joining.stream().anyMatch(j -> !holds(j, committedBefore))) {
            violation("a voter joins without its copy, from " + from + " to " + to);
        }
        final long copies =
                to.voters().stream().filter(v -> holds(v, committedBefore)).count();
        if (copies < Quorums.floor(to.voters().size(), 1)) {
            violation("only " + copies + " of the next voters hold what is accepted, from " + from + " to " + to);
        }
    }

    private boolean holds(final Member member, final long index) {
        final GroupMachine g = units.get(member.node()).g;
        return g != null && !g.lost() && g.syncedIndex() >= index;
    }

    private Outcome live() {
        for (int node = 1; node <= style.members + style.spares; node++) {
            final Unit u = new Unit(node);
            units.put(node, u);
            at(random.nextInt(300), () -> u.start(true));
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
        return new Outcome(seed, violations, committed.size(), leaderOf.size(), crashes, changes, trace);
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
                    work[0] += o.committed;
                    work[1] += o.leaders;
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
