package brookpath.programs.boot;

import static brookpath.programs.settings.Settings.host;
import static brookpath.programs.settings.Settings.port;

import brookpath.coordination.configuration.ClusterMetadata.NodeInfo;
import brookpath.coordination.group.Member;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.control.Founding;
import brookpath.programs.boot.ProcessAssembly.Role;
import brookpath.programs.settings.Settings;
import brookpath.programs.settings.SettingsReader;
import brookpath.programs.settings.SettingsWatch;
import brookpath.transport.http.CommonResource;
import brookpath.transport.http.GatewayResource;
import brookpath.transport.http.OperatorResource;
import brookpath.transport.http.PlatformPoster;
import brookpath.transport.http.RequestDispatcher;
import brookpath.transport.http.SettingsReport;
import brookpath.transport.log.RingWriter;
import brookpath.transport.loop.Host;
import com.google.inject.AbstractModule;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.cli.HelpFormatter;
import org.tinylog.Logger;

/** From flags to a running process. */
public final class ProcessLauncher {
    private static final int BAD_SETTINGS = 2;
    private static final int TRAFFIC_THREADS = 2;
    private static final long BORN_AT = Host.time().mono();

    private ProcessLauncher() {}

    public static void main(final String program, final boolean controller, final String[] args) throws Exception {
        final SettingsReader.Reading reading = SettingsReader.read(args, controller);
        if (reading.help()) {
            new HelpFormatter().printHelp(program, SettingsReader.options(controller));
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
            run(reading.settings(), args, controller);
        } catch (final IllegalStateException | java.io.UncheckedIOException ex) {
            System.err.println(program + ": " + ex.getMessage());
            System.exit(1);
        }
    }

    private static void run(final Settings s, final String[] args, final boolean controller) throws Exception {
        final Injector injector = Guice.createInjector(new Parts(s, args, controller));
        final Host host = injector.getInstance(Host.class);
        if (!s.peers().isEmpty()) {
            host.wire().listen(host(s.peers()), port(s.peers()));
        }
        injector.getInstance(ProcessAssembly.class).start();
        final Set<Object> resources = new LinkedHashSet<>();
        resources.add(injector.getInstance(CommonResource.class));
        if (s.role().equals(Settings.GATEWAY)) {
            resources.add(injector.getInstance(GatewayResource.class));
        } else if (s.role().equals(Settings.CONTROLLER)) {
            resources.add(injector.getInstance(OperatorResource.class));
        }
        new Web(host(s.http()), port(s.http()), resources).run("server");
        // why: Jetty waits for its sessions, and a listening session ends only when it is told to
        Runtime.getRuntime().addShutdownHook(new Thread(host::close, "stop"));
        watch(injector.getInstance(SettingsWatch.class), s.timing().changeMs() / 6);
        Logger.info("{} {} serves on {}", s.role(), s.node(), s.http());
    }

    private static void watch(final SettingsWatch watch, final long every) {
        final Thread th = new Thread(
                () -> {
                    try {
                        while (true) {
                            Thread.sleep(every);
                            watch.look();
                        }
                    } catch (final InterruptedException ex) {
                        Thread.currentThread().interrupt();
                    }
                },
                "settings");
        th.setDaemon(true);
        th.start();
    }

    private static final class Parts extends AbstractModule {
        private final Settings s;
        private final String[] args;
        private final boolean controller;

        Parts(final Settings s, final String[] args, final boolean controller) {
            this.s = s;
            this.args = args;
            this.controller = controller;
        }

        @Provides
        @Singleton
        SettingsWatch settings(final Host host, final PlatformPoster poster) {
            return new SettingsWatch(args, controller, s, is -> {
                poster.url(is.platform());
                host.tell(new NodeRequest.Adopt(is.rollBytes()));
            });
        }

        @Provides
        SettingsReport report(final SettingsWatch watch) {
            return watch;
        }

        @Provides
        @Singleton
        PlatformPoster poster() {
            return new PlatformPoster(s.platform(), s.timing().deliverMs());
        }

        @Provides
        @Singleton
        ProcessAssembly assembly(final PlatformPoster poster) {
            final boolean gateway = s.role().equals(Settings.GATEWAY);
            if (!gateway) {
                RingWriter.to(Path.of(s.data(), "ring.log"));
            }
            final List<Member> founders = controller
                    ? s.seeds().keySet().stream()
                            .map(n -> new Member(n, 50, ""))
                            .toList()
                    : List.of();
            return ProcessAssembly.of(
                    new ProcessAssembly.Plan(
                            gateway ? Role.GATEWAY : controller ? Role.CONTROLLER : Role.STORAGE,
                            new NodeInfo(s.node(), s.zone(), gateway ? s.http() : s.reachedAs()),
                            founders,
                            s.seeds(),
                            s.timing(),
                            new Founding(s.groups(), s.copies(), s.storages(), s.toleratedLosses()),
                            s.found(),
                            gateway ? "" : s.data(),
                            s.rollBytes(),
                            TRAFFIC_THREADS,
                            BORN_AT),
                    poster);
        }

        @Provides
        @Singleton
        Host host(final ProcessAssembly assembly) {
            return assembly.host();
        }

        @Provides
        @Singleton
        RequestDispatcher dispatcher(final Host host) {
            return new RequestDispatcher(host);
        }
    }
}
