package brookpath.programs;

import brookpath.programs.boot.ProcessLauncher;

/** The data plane: gateways and storage machines. */
public final class DataNode {
    private DataNode() {}

    public static void main(final String[] args) throws Exception {
        // why: Dropwizard brings logback along; SLF4J is to go to tinylog before anything logs
        System.setProperty("slf4j.provider", "org.tinylog.slf4j.TinylogSlf4jServiceProvider");
        ProcessLauncher.main("data-node", false, args);
    }
}
