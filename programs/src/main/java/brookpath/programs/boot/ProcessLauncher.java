package brookpath.programs.boot;

import brookpath.programs.Program;
import brookpath.programs.Role;
import brookpath.programs.settings.Address;
import brookpath.programs.settings.Settings;
import brookpath.programs.settings.SettingsFlags;
import brookpath.programs.settings.SettingsReader;
import brookpath.programs.settings.SettingsWatch;
import brookpath.transport.http.CommonResource;
import brookpath.transport.http.GatewayResource;
import brookpath.transport.http.OperatorResource;
import brookpath.transport.loop.Host;
import brookpath.transport.loop.SystemClock;
import com.google.inject.Guice;
import com.google.inject.Injector;
import java.io.UncheckedIOException;
import java.util.LinkedHashSet;
import java.util.Set;
import org.apache.commons.cli.HelpFormatter;
import org.tinylog.Logger;

/** Starts a process from the command-line arguments of its program. */
public final class ProcessLauncher {
    private static final int EXIT_CODE_CANNOT_START = 1;
    private static final int EXIT_CODE_BAD_SETTINGS = 2;
    private static final int SETTINGS_CHECKS_PER_CHANGE_BOUND = 6;
    private static final long STARTED_AT_MS = SystemClock.monotonicMs();

    private ProcessLauncher() {}

    /** Starts a program; if its arguments request help or a check of the settings, only does that. */
    public static void launch(final Program program, final String[] args) throws Exception {
        // Dropwizard has logback as a dependency; SLF4J must be bound to tinylog before anything is logged.
        System.setProperty("slf4j.provider", "org.tinylog.slf4j.TinylogSlf4jServiceProvider");
        final SettingsReader.Reading reading = SettingsReader.read(args, program);
        if (reading.helpOnly()) {
            new HelpFormatter().printHelp(program.commandName(), SettingsFlags.of(program));
            return;
        }
        reading.warnings().forEach(warning -> printError(program, warning));
        if (!reading.findings().isEmpty()) {
            reading.findings().forEach(finding -> printError(program, finding));
            System.exit(EXIT_CODE_BAD_SETTINGS);
        }
        if (reading.checkOnly()) {
            System.out.println(program.commandName() + ": settings are valid");
            return;
        }
        try {
            run(reading.settings(), args, program);
        } catch (final ProcessStartException | IllegalStateException | UncheckedIOException ex) {
            printError(program, ex.getMessage());
            System.exit(EXIT_CODE_CANNOT_START);
        }
    }

    private static void printError(final Program program, final Object message) {
        System.err.println(program.commandName() + ": " + message);
    }

    private static void run(final Settings settings, final String[] args, final Program program) throws Exception {
        final Injector injector = Guice.createInjector(new ProcessModule(settings, args, program, STARTED_AT_MS));
        final Host host = injector.getInstance(Host.class);
        final String peerAddress = settings.peerAddress();
        if (!peerAddress.isEmpty()) {
            host.wire().listen(Address.host(peerAddress), Address.port(peerAddress));
        }
        injector.getInstance(ProcessAssembly.class).start();
        final String httpAddress = settings.httpAddress();
        new HttpServer(Address.host(httpAddress), Address.port(httpAddress), httpResources(injector, settings.role()))
                .run("server");
        // Jetty waits for open sessions, and a listening session ends only when the host closes it.
        Runtime.getRuntime().addShutdownHook(new Thread(host::close, "stop"));
        startWatching(
                injector.getInstance(SettingsWatch.class),
                settings.timing().changeMs() / SETTINGS_CHECKS_PER_CHANGE_BOUND);
        Logger.info("{} {} serves on {}", settings.role(), settings.node(), httpAddress);
    }

    private static Set<Object> httpResources(final Injector injector, final Role role) {
        final Set<Object> resources = new LinkedHashSet<>();
        resources.add(injector.getInstance(CommonResource.class));
        if (role == Role.GATEWAY) {
            resources.add(injector.getInstance(GatewayResource.class));
        } else if (role == Role.CONTROLLER) {
            resources.add(injector.getInstance(OperatorResource.class));
        }
        return resources;
    }

    private static void startWatching(final SettingsWatch watch, final long periodMs) {
        final Thread thread = new Thread(() -> watch(watch, periodMs), "settings");
        thread.setDaemon(true);
        thread.start();
    }

    private static void watch(final SettingsWatch watch, final long periodMs) {
        try {
            while (true) {
                Thread.sleep(periodMs);
                watch.checkFile();
            }
        } catch (final InterruptedException ex) {
            Thread.currentThread().interrupt();
        }
    }
}
