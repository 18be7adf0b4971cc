package brookpath.coordination.group;

import brookpath.state.record.Rec;

/** What follows from a group's log alone. */
public interface LogState {
    void apply(Rec rec);

    /** The record leaves the kept history; its effect stays. */
    void trimmed(Rec rec);

    byte[] save();

    void load(byte[] saved);

    /** How long a copy keeps the record after it learned of it. */
    long keepMs(Rec rec);
}
