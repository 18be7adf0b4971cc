package brookpath.programs.boot;

import brookpath.coordination.group.Member;
import brookpath.coordination.metadata.ClusterMetadata.NodeInfo;
import brookpath.coordination.node.NodeRequest;
import brookpath.coordination.node.gateway.SessionOverflow;
import brookpath.programs.Program;
import brookpath.programs.Role;
import brookpath.programs.settings.Settings;
import brookpath.programs.settings.SettingsWatch;
import brookpath.transport.http.PlatformPoster;
import brookpath.transport.http.RequestDispatcher;
import brookpath.transport.http.SettingsReport;
import brookpath.transport.log.LogRing;
import brookpath.transport.loop.Host;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import java.nio.file.Path;
import java.util.List;

/** The Guice bindings of the objects of one process. */
final class ProcessModule extends AbstractModule {
    private static final int TRAFFIC_THREADS = 2;
    private static final int FOUNDER_PRIORITY = 50;
    private static final String RING_LOG = "ring.log";

    private final Settings settings;
    private final String[] args;
    private final Program program;
    private final long startedAtMs;

    /**
     * @param args the command-line arguments of the process
     * @param startedAtMs when the process began, in milliseconds of its monotonic clock
     */
    ProcessModule(final Settings settings, final String[] args, final Program program, final long startedAtMs) {
        this.settings = settings;
        this.args = args;
        this.program = program;
        this.startedAtMs = startedAtMs;
    }

    @Provides
    @Singleton
    SettingsWatch settingsWatch(final Host host, final PlatformPoster poster) {
        return new SettingsWatch(args, program, settings, changed -> {
            poster.setUrl(changed.platformUrl());
            host.submitWithoutReply(new NodeRequest.UpdateSettings(changed.segmentBytes()));
        });
    }

    @Provides
    SettingsReport settingsReport(final SettingsWatch watch) {
        return watch;
    }

    @Provides
    @Singleton
    PlatformPoster poster() {
        return new PlatformPoster(settings.platformUrl(), settings.timing().deliverMs());
    }

    @Provides
    @Singleton
    ProcessAssembly assembly(final PlatformPoster poster) {
        if (settings.role() != Role.GATEWAY) {
            LogRing.setFile(Path.of(settings.dataFolder(), RING_LOG));
        }
        return ProcessAssembly.of(plan(), poster);
    }

    private ProcessPlan plan() {
        final boolean gateway = settings.role() == Role.GATEWAY;
        final String address = gateway ? settings.httpAddress() : settings.advertisedPeerAddress();
        return new ProcessPlan(
                settings.role(),
                new NodeInfo(settings.node(), settings.zone(), address),
                founders(),
                settings.seeds(),
                settings.timing(),
                settings.founding(),
                settings.foundsControlGroup(),
                gateway ? "" : settings.dataFolder(),
                settings.segmentBytes(),
                SessionOverflow.NONE,
                TRAFFIC_THREADS,
                startedAtMs);
    }

    private List<Member> founders() {
        if (settings.role() != Role.CONTROLLER) {
            return List.of();
        }
        return settings.seeds().keySet().stream()
                .map(node -> new Member(node, FOUNDER_PRIORITY, ""))
                .toList();
    }

    @Provides
    @Singleton
    Host host(final ProcessAssembly assembly) {
        return assembly.host();
    }

    @Provides
    @Singleton
    RequestDispatcher requestDispatcher(final Host host) {
        return new RequestDispatcher(host);
    }
}
