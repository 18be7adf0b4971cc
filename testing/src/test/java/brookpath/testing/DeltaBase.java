package brookpath.testing;

import brookpath.state.record.Delta;

/** Distinguishes deltas to an empty base from those that need the base that they were made from. */
public final class DeltaBase {
    private DeltaBase() {}

    /** Whether the delta applies to an empty base, so that it holds the document in full. */
    public static boolean isEmpty(final byte[] delta) {
        try {
            Delta.apply(new byte[0], delta);
            return true;
        } catch (final Delta.MismatchException ex) {
            return false;
        }
    }
}
