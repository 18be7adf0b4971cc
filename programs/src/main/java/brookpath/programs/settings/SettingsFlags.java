package brookpath.programs.settings;

import brookpath.programs.Program;
import org.apache.commons.cli.Options;

/** The command-line flags of the programs. A flag with the name of a setting takes precedence over the file. */
public final class SettingsFlags {
    static final String SETTINGS = "settings";
    static final String CHECK = "check";
    static final String HELP = "help";
    static final String FOUND = "found";

    private SettingsFlags() {}

    /** The flags of a program, with their help texts. */
    public static Options of(final Program program) {
        final Options options = new Options()
                .addOption(null, SETTINGS, true, "settings file (JSON); flags take precedence over it")
                .addOption(null, SettingsKeys.NODE.key(), true, "node number of this process, unique in the cluster")
                .addOption(null, SettingsKeys.ZONE, true, "zone that this process runs in")
                .addOption(null, SettingsKeys.PEERS, true, "host:port on which peers reach this process")
                .addOption(null, SettingsKeys.DEPRECATED_KEYS.get(SettingsKeys.PEERS), true, "deprecated, use --peers")
                .addOption(null, SettingsKeys.HTTP, true, "host:port for HTTP requests")
                .addOption(null, SettingsKeys.SEEDS, true, "the three controllers, as node@host:port,...")
                .addOption(null, SettingsKeys.DATA, true, "path of the data folder")
                .addOption(null, CHECK, false, "check the settings and exit")
                .addOption("h", HELP, false, "print this help and exit");
        return program == Program.CONTROLLER
                ? options.addOption(
                        null, FOUND, false, "first start only: found the control group on an empty data folder")
                : options.addOption(null, SettingsKeys.ROLE, true, "gateway or storage");
    }
}
