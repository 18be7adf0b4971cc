package brookpath.coordination.controllog;

import java.util.ArrayList;
import java.util.List;

/**
 * The versions of one value by their log position: the newest committed one, and all that were appended after it.
 * Versions older than the newest committed one are dropped.
 */
final class CommittedVersions<T> {
    /** A version and the log position of its record. */
    record Version<T>(long index, T value) {}

    private final List<Version<T>> versions = new ArrayList<>();

    void add(final long index, final T value) {
        versions.add(new Version<>(index, value));
    }

    /** Marks everything up to the position as committed. */
    void markCommitted(final long index) {
        int newestCommitted = 0;
        while (newestCommitted + 1 < versions.size() && versions.get(newestCommitted + 1).index <= index) {
            newestCommitted++;
        }
        versions.subList(0, newestCommitted).clear();
    }

    /** The newest version at or before the position; the fallback if there is none. */
    T newestAt(final long index, final T fallback) {
        for (int i = versions.size() - 1; i >= 0; i--) {
            if (versions.get(i).index <= index) {
                return versions.get(i).value;
            }
        }
        return fallback;
    }

    /** The number of versions that were appended after the position. */
    int countAfter(final long index) {
        return (int) versions.stream().filter(v -> v.index > index).count();
    }

    void clear() {
        versions.clear();
    }

    List<Version<T>> all() {
        return versions;
    }
}
