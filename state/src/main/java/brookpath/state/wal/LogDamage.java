package brookpath.state.wal;

/**
 * Damage that was found in a file of the log.
 *
 * @param file the name of the file
 * @param offset where in the file the damage is, in bytes
 */
record LogDamage(String file, long offset, Kind kind) {
    /** What is wrong. */
    enum Kind {
        BAD_CHECKSUM("bad checksum"),
        UNKNOWN_VERSION("snapshot of an unknown version"),
        UNEXPECTED_PART("part out of sequence"),
        MISSING_PART("snapshot without its last parts"),
        EXCESS_DATA("data after the end of the snapshot");

        private final String text;

        Kind(final String text) {
            this.text = text;
        }
    }

    /** The damage as text for operators. */
    String describe() {
        return file + ": " + kind.text + " at byte " + offset;
    }
}
