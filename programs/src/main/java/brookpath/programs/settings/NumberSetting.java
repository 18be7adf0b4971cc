package brookpath.programs.settings;

/**
 * A setting whose value is an integer, with its range and default.
 *
 * @param section the key of the JSON object that contains it; empty for the top level of the settings file
 * @param key its key in that object
 * @param minimum the smallest value that is accepted
 * @param maximum the largest value that is accepted
 * @param defaultValue its value if it is not given; null if it is required
 */
record NumberSetting(String section, String key, long minimum, long maximum, Long defaultValue) {
    /** Whether the value is in the range. */
    boolean accepts(final long value) {
        return minimum <= value && value <= maximum;
    }

    /** Its JSON pointer in the settings file, as reported in findings. */
    String place() {
        return (section.isEmpty() ? "" : "/" + section) + "/" + key;
    }
}
