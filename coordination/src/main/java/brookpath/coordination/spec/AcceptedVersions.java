package brookpath.coordination.spec;

import java.util.ArrayList;
import java.util.List;

/**
 * The versions of one value by their log position: the newest accepted one, however long it stays so, and all that were
 * appended after it. What is older than the newest accepted one is dropped.
 */
final class AcceptedVersions<T> {
    /** A version and where its record lies. */
    record Version<T>(long lsn, T value) {}

    private final List<Version<T>> versions = new ArrayList<>();

    void add(final long lsn, final T value) {
        versions.add(new Version<>(lsn, value));
    }

    /** Everything up to the position is accepted. */
    void accept(final long lsn) {
        int newestAccepted = 0;
        while (newestAccepted + 1 < versions.size() && versions.get(newestAccepted + 1).lsn <= lsn) {
            newestAccepted++;
        }
        versions.subList(0, newestAccepted).clear();
    }

    /** The newest version at or before the position. */
    T at(final long lsn, final T absent) {
        for (int i = versions.size() - 1; i >= 0; i--) {
            if (versions.get(i).lsn <= lsn) {
                return versions.get(i).value;
            }
        }
        return absent;
    }

    /** How many were appended after the position. */
    int after(final long lsn) {
        return (int) versions.stream().filter(v -> v.lsn > lsn).count();
    }

    void clear() {
        versions.clear();
    }

    List<Version<T>> all() {
        return versions;
    }
}
