package brookpath.testing.sim;

import java.util.EnumSet;

/** The kinds of faults on a control day. A counted machine is one with a disk: a controller or a storage node. */
public enum ControlFault {
    /** A controller is cut off from all other processes and from callers. */
    CUT_OFF,
    /** Messages from a controller do not arrive; it still receives. */
    CUT_SENDING,
    /** Messages to a controller do not arrive; it can still send. */
    CUT_HEARING,
    /** A controller is cut off from the other counted machines; callers and gateways reach it. */
    CUT_FROM_CORE,
    /** A controller is cut off from half of the other counted machines. */
    CUT_FROM_HALF,
    /** A controller is cut off from the counted machines, and a gateway restarts with settings that name it first. */
    CUT_SEEDS,
    /** A counted machine freezes. */
    FREEZE,
    /** A counted machine is killed. */
    KILL,
    /** A counted machine loses power. */
    POWER,
    /** The controller that has just acknowledged a change, or the control leader, loses power. */
    POWER_AFTER_ACK,
    /** As {@link #POWER_AFTER_ACK}, and the disk is lost. */
    WIPE_AFTER_ACK,
    /** A controller is killed shortly after a change was sent to it. */
    KILL_AFTER_SEND,
    /** A controller is permanently lost; an empty one joins under a new node number. */
    REPLACE_CONTROLLER,
    /** As {@link #REPLACE_CONTROLLER}, but the new one joins first and the old one is asked to stop. */
    REPLACE_CONTROLLER_ANNOUNCED,
    /** An empty controller takes over the node number of a lost one. */
    REUSE_CONTROLLER_ADDRESS,
    /** A storage node is permanently lost; an empty one joins under a new node number. */
    REPLACE_STORAGE,
    /** An empty storage node takes over the node number of a lost one. */
    REUSE_STORAGE_ADDRESS,
    /** A storage node is retired on request, and shut down. */
    RETIRE,
    /** As {@link #RETIRE}, and any remaining storage node loses its disk once the retirement is complete. */
    RETIRE_THEN_WIPE,
    /** Any storage node, possibly the retiring one, loses its disk right after a retirement is acknowledged. */
    WIPE_DURING_RETIRE,
    /** The control leader or all machines lose power right after a retirement is acknowledged. */
    POWER_AFTER_RETIRE,
    /** A disk is slow. */
    SLOW_DISK,
    /** A disk does not respond for a while. */
    HANGING_DISK,
    /** A disk is full. */
    FULL_DISK,
    /** The wall clock of some machines jumps, and later jumps back. */
    CLOCK_STEP,
    /** A controller is killed and restarts with the same wall-clock time as at its last start. */
    CLOCK_REPEATS,
    /** Most sessions between processes and with callers break. */
    RESETS,
    /** The controllers restart one after another. */
    ROLLING_RESTART,
    /** All counted machines are killed right after an acknowledgement. */
    KILL_ALL,
    /** All machines lose power right after an acknowledgement. */
    POWER_ALL,
    /** Hundreds of changes, up to eight in flight. */
    STORM,
    /** Hundreds of invalid changes, followed by a repeat of an acknowledged one. */
    REFUSED_ORDERS,
    /** Pairs of concurrent changes based on the same version. */
    RACES,
    /** 70 % of the acknowledgements are lost. */
    ANSWERS_LOST;

    /** Kinds that leave all counted machines available, so that they may be injected at any time. */
    static final EnumSet<ControlFault> WITHOUT_OUTAGE =
            EnumSet.of(CLOCK_STEP, RESETS, STORM, REFUSED_ORDERS, RACES, ANSWERS_LOST);

    /** Kinds that are injected at the next acknowledgement or sent change. */
    static final EnumSet<ControlFault> ON_A_CHANGE =
            EnumSet.of(POWER_AFTER_ACK, WIPE_AFTER_ACK, KILL_AFTER_SEND, KILL_ALL, POWER_ALL);
}
