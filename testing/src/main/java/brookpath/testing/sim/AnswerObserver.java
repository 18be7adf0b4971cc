package brookpath.testing.sim;

import brookpath.coordination.message.Response;

/** Observes the responses of processes to calls, including those whose caller no longer waits for them. */
interface AnswerObserver {
    /** Called for each response; status 0 stands for a broken connection or a call that timed out. */
    void answered(SimulatedProcess from, long callId, Response response);
}
