package brookpath.programs.settings;

import brookpath.programs.Program;
import org.apache.commons.cli.Options;

/** The flags of the programs. A flag that bears the name of a setting takes precedence over the file. */
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
                .addOption(null, SettingsKeys.NODE.key(), true, "this process's number, unique in the cluster")
                .addOption(null, SettingsKeys.ZONE, true, "the zone it runs in")
                .addOption(null, SettingsKeys.PEERS, true, "host:port on which peers reach it")
                .addOption(null, SettingsKeys.FORMER_KEYS.get(SettingsKeys.PEERS), true, "deprecated, use --peers")
                .addOption(null, SettingsKeys.HTTP, true, "host:port for HTTP")
                .addOption(null, SettingsKeys.SEEDS, true, "the three controllers: node@host:port,...")
                .addOption(null, SettingsKeys.DATA, true, "the data folder")
                .addOption(null, CHECK, false, "check the settings and stop")
                .addOption("h", HELP, false, "this text");
        return program == Program.CONTROLLER
                ? options.addOption(
                        null, FOUND, false, "first start ever: found the control group on an empty data folder")
                : options.addOption(null, SettingsKeys.ROLE, true, "gateway or storage");
    }
}
