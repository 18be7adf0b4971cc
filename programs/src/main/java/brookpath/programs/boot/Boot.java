package brookpath.programs.boot;

import static brookpath.programs.settings.Settings.host;
import static brookpath.programs.settings.Settings.port;

import brookpath.coordination.action.Action;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.BailiffNode;
import brookpath.coordination.node.FrontNode;
import brookpath.coordination.node.Job;
import brookpath.coordination.node.Node;
import brookpath.coordination.node.Node.Time;
import brookpath.coordination.node.StorageNode;
import brookpath.coordination.spec.SpecClient;
import brookpath.programs.settings.Settings;
import brookpath.programs.settings.SettingsReader;
import brookpath.programs.settings.SettingsWatch;
import brookpath.state.disk.FolderDisk;
import brookpath.state.spool.Spool;
import brookpath.transport.http.CommonResource;
import brookpath.transport.http.Desk;
import brookpath.transport.http.FrontResource;
import brookpath.transport.http.OperatorResource;
import brookpath.transport.http.PlatformPoster;
import brookpath.transport.http.SettingsReport;
import brookpath.transport.log.RingWriter;
import brookpath.transport.loop.Host;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.HelpFormatter;
import org.tinylog.Logger;

/** From flags to a running process. */
public final class Boot {
    private static final int BAD_SETTINGS = 2;

    private Boot() {
    }

    public static void main(final String program, final boolean bailiff, final String[] args) throws Exception {
        final SettingsReader.Reading reading = SettingsReader.read(args, bailiff);
        if (reading.help()) {
            new HelpFormatter().printHelp(program, SettingsReader.options(bailiff));
            return;
        }
        if (!reading.findings().isEmpty()) {
            reading.findings().forEach(f -> System.err.println(program + ": " + f));
            System.exit(BAD_SETTINGS);
        }
        if (reading.checkOnly()) {
            System.out.println(program + ": settings are good");
            return;
        }
        try {
            run(reading.settings(), args, bailiff);
        } catch (final IllegalStateException | java.io.UncheckedIOException ex) {
            System.err.println(program + ": " + ex.getMessage());
            System.exit(1);
        }
    }

    private static void run(final Settings s, final String[] args, final boolean bailiff) throws Exception {
        final Injector injector = Guice.createInjector(new Parts(s, args, bailiff));
        final Host host = injector.getInstance(Host.class);
        final Start start = injector.getInstance(Start.class);
        if (!s.siblings().isEmpty()) {
            host.wire().listen(host(s.siblings()), port(s.siblings()));
        }
        host.start(start.actions);
        final Set<Object> resources = new LinkedHashSet<>();
        resources.add(injector.getInstance(CommonResource.class));
        if (s.role().equals(Settings.FRONT)) {
            resources.add(injector.getInstance(FrontResource.class));
        } else if (s.role().equals(Settings.BAILIFF)) {
            resources.add(injector.getInstance(OperatorResource.class));
        }
        new Web(host(s.http()), port(s.http()), resources).run("server");
        // why: Jetty waits for its sessions, and a listening session ends only when it is told to
        Runtime.getRuntime().addShutdownHook(new Thread(host::close, "stop"));
        watch(injector.getInstance(SettingsWatch.class), s.tempo().changeMs() / 6);
        Logger.info("{} {} serves on {}", s.role(), s.node(), s.http());
    }

    private static void watch(final SettingsWatch watch, final long every) {
        final Thread th = new Thread(() -> {
            try {
                while (true) {
                    Thread.sleep(every);
                    watch.look();
                }
            } catch (final InterruptedException ex) {
                Thread.currentThread().interrupt();
            }
        }, "settings");
        th.setDaemon(true);
        th.start();
    }

    /** What the machine did before its first event. */
    private record Start(List<Action> actions) {
    }

    private static final class Parts extends AbstractModule {
        private final Settings s;
        private final List<Action> first = new ArrayList<>();

        private final String[] args;
        private final boolean bailiff;

        Parts(final Settings s, final String[] args, final boolean bailiff) {
            this.s = s;
            this.args = args;
            this.bailiff = bailiff;
        }

        @Provides
        @Singleton
        SettingsWatch settings(final Host host, final PlatformPoster poster) {
            return new SettingsWatch(args, bailiff, s, is -> {
                poster.url(is.platform());
                host.tell(new Job.Adopt(is.rollBytes()));
            });
        }

        @Provides
        SettingsReport report(final SettingsWatch watch) {
            return watch;
        }

        @Provides
        @Singleton
        PlatformPoster poster() {
            return new PlatformPoster(s.platform(), s.tempo().deliverMs());
        }

        @Provides
        @Singleton
        Start start(final Node node) {
            return new Start(first);
        }

        @Provides
        @Singleton
        Node node(final Recovered recovered) {
            final Time time = Host.time();
            final List<Integer> seeds = List.copyOf(s.seeds().keySet());
            // why: jobs of a former life must not be taken for this one's
            final long firstId = time.wall() << 16;
            if (s.role().equals(Settings.FRONT)) {
                return new FrontNode(s.node(), s.zone(), seeds, s.tempo(), firstId);
            }
            final long seed = System.nanoTime();
            if (s.role().equals(Settings.STORAGE)) {
                final StorageNode node = new StorageNode(s.node(), s.zone(), s.reachedAs(), seeds, s.tempo(), s.toleratedLosses(), seed, s.rollBytes());
                recovered.entries.forEach(e -> node.replay(e, time));
                return node;
            }
            final List<Member> members = new ArrayList<>();
            s.seeds().keySet().forEach(n -> members.add(new Member(n, 50, "")));
            final BailiffNode node = new BailiffNode(s.node(), members,
                    new BailiffNode.Founding(s.groups(), s.copies(), s.storages(), s.toleratedLosses()), s.tempo(), seed, firstId, s.rollBytes());
            recovered.entries.forEach(e -> node.replay(e, time));
            if (s.found() && !recovered.entries.isEmpty()) {
                throw new IllegalStateException("--found: the data folder already holds a control log");
            }
            first.addAll(node.start(s.found(), time));
            return node;
        }

        private record Recovered(Spool spool, List<byte[]> entries) {
        }

        @Provides
        @Singleton
        Recovered recovered() {
            if (s.role().equals(Settings.FRONT)) {
                return new Recovered(null, List.of());
            }
            RingWriter.to(Path.of(s.data(), "ring.log"));
            final Spool.Recovery rec = Spool.recover(new FolderDisk(Path.of(s.data())));
            rec.findings().forEach(f -> Logger.error("data folder: {}", f));
            return new Recovered(rec.spool(), rec.replayed());
        }

        @Provides
        @Singleton
        Host host(final Node node, final Recovered recovered, final PlatformPoster poster) {
            final SpecClient client = node instanceof FrontNode f ? f.client() : node instanceof StorageNode n ? n.client() : null;
            return new Host(node, s.node(), s.tempo(), recovered.spool, n -> addresses(client),
                    () -> client == null ? Long.MAX_VALUE : client.leaseUntil(), poster,
                    () -> Runtime.getRuntime().halt(1));
        }

        private Map<Integer, String> addresses(final SpecClient client) {
            final Map<Integer, String> map = new LinkedHashMap<>(s.seedsOtherThanSelf());
            if (client != null) {
                client.roster().nodes().forEach(n -> map.put(n.node(), n.address()));
                map.remove(s.node());
            }
            return map;
        }

        @Provides
        @Singleton
        Desk desk(final Host host) {
            return new Desk(host);
        }
    }
}
