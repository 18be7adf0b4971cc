package brookpath.testing.model;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;

/** The checker accepts linearizable histories of a log and rejects others. */
public final class LinearizabilityTest {
    private static Operation append(final long invoked, final long returned, final long value) {
        return new Operation(invoked, returned, value, List.of());
    }

    private static Operation read(final long at, final Long... seen) {
        return new Operation(at, at, 0, List.of(seen));
    }

    private static String check(final Operation... operations) {
        return new Linearizability(List.of(operations)).check();
    }

    @Test
    public void concurrentAppendsMayTakeEffectInEitherOrder() {
        assertNull(check(append(1, 5, 1), append(2, 4, 2), read(6, 2L, 1L)));
        assertNull(check(append(1, 5, 1), append(2, 4, 2), read(6, 1L, 2L)));
    }

    @Test
    public void appendOfUnknownOutcomeMayTakeEffectLateOrNever() {
        assertNull(check(append(1, Operation.INDETERMINATE, 1), read(2), read(3, 1L)));
        assertNull(check(append(1, Operation.INDETERMINATE, 1), append(2, 3, 2), read(4, 2L)));
    }

    @Test
    public void staleReadIsRejected() {
        assertNotNull(check(append(1, 2, 1), read(3)));
    }

    @Test
    public void recordThatDisappearsIsRejected() {
        assertNotNull(check(append(1, Operation.INDETERMINATE, 1), read(2, 1L), read(3)));
    }

    @Test
    public void orderAgainstRealTimeIsRejected() {
        assertNotNull(check(append(1, 2, 1), append(3, 4, 2), read(5, 2L, 1L)));
    }

    @Test
    public void missingConfirmedAppendIsRejected() {
        assertNotNull(check(append(1, 2, 1), append(3, 4, 2), read(5, 2L)));
    }
}
