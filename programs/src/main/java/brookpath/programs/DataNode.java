package brookpath.programs;

import brookpath.programs.boot.ProcessLauncher;

/** The program of the data plane: gateways and storage nodes. */
public final class DataNode {
    private DataNode() {}

    /** Starts the process. */
    public static void main(final String[] args) throws Exception {
        ProcessLauncher.launch(Program.DATA_NODE, args);
    }
}
