package brookpath.programs;

/** The programs, each with a settings file of its own. */
public enum Program {
    /** Gateways and storage nodes. */
    DATA_NODE("data-node"),
    /** The control plane. */
    CONTROLLER("controller");

    private final String commandName;

    Program(final String commandName) {
        this.commandName = commandName;
    }

    /** The name of the command, which is also the prefix of its messages. */
    public String commandName() {
        return commandName;
    }
}
