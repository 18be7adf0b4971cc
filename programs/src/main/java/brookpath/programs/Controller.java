package brookpath.programs;

import brookpath.programs.boot.ProcessLauncher;

/** The program of the control plane. */
public final class Controller {
    private Controller() {}

    /** Starts the process. */
    public static void main(final String[] args) throws Exception {
        ProcessLauncher.launch(Program.CONTROLLER, args);
    }
}
