package brookpath.programs.settings;

/**
 * A setting that is an integer.
 *
 * @param section the key of the object that holds it, empty for the document itself
 * @param key its name there
 * @param minimum the smallest value that is accepted
 * @param maximum the largest value that is accepted
 * @param defaultValue its value where it is absent; null where it is mandatory
 */
record NumberSetting(String section, String key, long minimum, long maximum, Long defaultValue) {
    /** Whether the value is in the range. */
    boolean accepts(final long value) {
        return minimum <= value && value <= maximum;
    }

    /** Its JSON pointer in the settings file, as findings name it. */
    String place() {
        return (section.isEmpty() ? "" : "/" + section) + "/" + key;
    }
}
