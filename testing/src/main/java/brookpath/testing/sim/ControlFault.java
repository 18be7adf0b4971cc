package brookpath.testing.sim;

import java.util.EnumSet;

/** What may go wrong on a control day. */
public enum ControlFault {
    /** A controller is cut off from everybody, callers among them. */
    CUT_OFF,
    /** What a controller sends arrives nowhere; it hears all. */
    CUT_SENDING,
    /** What others send to a controller does not arrive; it is heard by all. */
    CUT_HEARING,
    /** A controller is cut off from the other counted machines; callers and gateways reach it. */
    CUT_FROM_CORE,
    /** A controller is cut off from half of the other counted machines. */
    CUT_FROM_HALF,
    /** A controller is cut off from the core, new settings name it first, and gateways start again on these. */
    CUT_SEEDS,
    /** A counted machine stands still. */
    FREEZE,
    /** A counted machine is killed. */
    KILL,
    /** A counted machine loses power. */
    POWER,
    /** The controller that has just acknowledged a change, or the leader behind it, loses power. */
    POWER_AFTER_ACK,
    /** The same, and the disk is lost. */
    WIPE_AFTER_ACK,
    /** A controller is killed soon after it was sent a change. */
    KILL_AFTER_SEND,
    /** A controller is gone for good; an empty one comes at another number. */
    REPLACE_CONTROLLER,
    /** The same, but the new one comes first and the old one is asked to end. */
    REPLACE_CONTROLLER_ANNOUNCED,
    /** Another, empty controller comes at the number of one that is gone. */
    REUSE_CONTROLLER_ADDRESS,
    /** A storage machine is gone for good; an empty one comes at another number. */
    REPLACE_STORAGE,
    /** Another, empty storage machine comes at the number of one that is gone. */
    REUSE_STORAGE_ADDRESS,
    /** A storage machine is emptied by an order, and shut down. */
    RETIRE,
    /** The same, and another counted machine loses its disk as soon as that is completed. */
    RETIRE_THEN_WIPE,
    /** A storage machine, the leaving one or another, loses its disk right after a retirement is acknowledged. */
    WIPE_DURING_RETIRE,
    /** The controller that has acknowledged a retirement, or all machines, lose power right then. */
    POWER_AFTER_RETIRE,
    /** A disk takes its time. */
    SLOW_DISK,
    /** A disk answers nothing for a while. */
    HANGING_DISK,
    /** A disk takes no more bytes. */
    FULL_DISK,
    /** The time of day jumps on some machines, and back. */
    CLOCK_STEP,
    /** A machine is killed and comes up with the very time of day of its last start. */
    CLOCK_REPEATS,
    /** Most sessions between processes and with callers break. */
    RESETS,
    /** The controllers restart one after another. */
    ROLLING_RESTART,
    /** All counted machines are killed right after an acknowledgement. */
    KILL_ALL,
    /** All machines lose power right after an acknowledgement. */
    POWER_ALL,
    /** Hundreds of changes, up to eight at once. */
    STORM,
    /** Hundreds of invalid changes, and then an acknowledged one once more. */
    REFUSED_ORDERS,
    /** Pairs of changes made from the same version. */
    RACES,
    /** Seven acknowledgements in ten are lost. */
    ANSWERS_LOST;

    /** Kinds that take no counted machine out, so that they may come at any moment. */
    static final EnumSet<ControlFault> WITHOUT_LOSS =
            EnumSet.of(CLOCK_STEP, RESETS, STORM, REFUSED_ORDERS, RACES, ANSWERS_LOST);

    /** Kinds that wait for the next acknowledgement or change. */
    static final EnumSet<ControlFault> ON_AN_ORDER =
            EnumSet.of(POWER_AFTER_ACK, WIPE_AFTER_ACK, KILL_AFTER_SEND, KILL_ALL, POWER_ALL);
}
