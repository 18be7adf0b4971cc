package brookpath.programs;

import brookpath.programs.boot.ProcessLauncher;

/** The control plane. */
public final class Controller {
    private Controller() {}

    public static void main(final String[] args) throws Exception {
        // why: Dropwizard brings logback along; SLF4J is to go to tinylog before anything logs
        System.setProperty("slf4j.provider", "org.tinylog.slf4j.TinylogSlf4jServiceProvider");
        ProcessLauncher.main("controller", true, args);
    }
}
