package brookpath.programs;

import brookpath.programs.boot.Boot;

/** The data plane: fronts and storage machines. */
public final class Creel {
    private Creel() {}

    public static void main(final String[] args) throws Exception {
        // why: Dropwizard brings logback along; SLF4J is to go to tinylog before anything logs
        System.setProperty("slf4j.provider", "org.tinylog.slf4j.TinylogSlf4jServiceProvider");
        Boot.main("creel", false, args);
    }
}
