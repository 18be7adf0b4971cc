package brookpath.testing.sim;

import brookpath.coordination.message.Response;

/** Sees the answers that processes give to calls, also those that nobody waits for any more. */
interface AnswerObserver {
    /** A process answers; a status of 0 stands for a connection that broke or a call that timed out. */
    void answered(SimulatedProcess from, long callId, Response response);
}
