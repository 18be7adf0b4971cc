package brookpath.programs;

/** The programs that take a settings file of their own. */
public enum Program {
    /** Gateways and storage nodes. */
    DATA_NODE("data-node"),
    /** The control plane. */
    CONTROLLER("controller");

    private final String commandName;

    Program(final String commandName) {
        this.commandName = commandName;
    }

    /** The name of its command, with which its messages begin. */
    public String commandName() {
        return commandName;
    }
}
