package brookpath.testing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import brookpath.coordination.message.Response;
import brookpath.coordination.message.ResponseStatus;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;

/** The codes of response statuses are part of the wire protocol and must not change. */
public final class ResponseStatusTest {
    private static final int CODE_OF_A_NEWER_VERSION = 299;

    @Test
    public void codesOnTheWireDoNotChange() {
        assertEquals(
                Arrays.stream(ResponseStatus.values()).map(ResponseStatus::code).toList(),
                List.of(200, 202, 400, 401, 403, 404, 409, 410, 413, 422, 503, 504));
    }

    @Test
    public void responseHasOnlyItsOwnOutcome() {
        for (final ResponseStatus status : ResponseStatus.values()) {
            final Response response = new Response(status, 0, "{}");
            for (final ResponseStatus other : ResponseStatus.values()) {
                assertEquals(response.is(other), status == other);
            }
        }
    }

    @Test
    public void codeOfANewerVersionIsPreserved() {
        final Response response = new Response(CODE_OF_A_NEWER_VERSION, 0, "{}");
        assertEquals(response.status(), CODE_OF_A_NEWER_VERSION);
        assertTrue(response.isSuccess());
        assertFalse(new Response(ResponseStatus.UNSETTLED, 0, "{}").isSuccess());
    }
}
