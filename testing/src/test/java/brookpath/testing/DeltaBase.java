package brookpath.testing;

import brookpath.state.record.Delta;

/** Tells deltas from an empty base from those that need the base that they were made from. */
public final class DeltaBase {
    private DeltaBase() {}

    /** Whether the delta can be applied by a receiver that has nothing, so that it brings the document in full. */
    public static boolean isEmpty(final byte[] delta) {
        try {
            Delta.apply(new byte[0], delta);
            return true;
        } catch (final Delta.MismatchException ex) {
            return false;
        }
    }
}
