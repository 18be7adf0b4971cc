package brookpath.programs.settings;

import brookpath.coordination.configuration.Finding;
import jakarta.json.JsonArray;
import jakarta.json.JsonNumber;
import jakarta.json.JsonObject;
import jakarta.json.JsonString;
import jakarta.json.JsonValue;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;

/**
 * The values given by the flags and the settings file, of which the flags take precedence. An invalid value adds a
 * finding with its place, and reading continues. Not thread-safe.
 */
final class SettingsSource {
    private static final String FLAG_PREFIX = "--";
    private static final String LIST_SEPARATOR = ",";

    private final CommandLine flags;
    private final JsonObject file;
    private final List<Finding> findings = new ArrayList<>();
    private final List<Finding> warnings = new ArrayList<>();

    SettingsSource(final CommandLine flags, final JsonObject file) {
        this.flags = flags;
        this.file = file;
        SettingsKeys.DEPRECATED_KEYS.forEach(this::checkDeprecatedKey);
    }

    private void checkDeprecatedKey(final String key, final String deprecatedKey) {
        if (flags.hasOption(deprecatedKey)) {
            warnDeprecated(FLAG_PREFIX + deprecatedKey, FLAG_PREFIX + key, flags.hasOption(key));
        }
        if (file.containsKey(deprecatedKey)) {
            warnDeprecated("/" + deprecatedKey, "/" + key, file.containsKey(key));
        }
    }

    private void warnDeprecated(final String deprecatedPlace, final String place, final boolean bothAreGiven) {
        warnings.add(new Finding(deprecatedPlace, "deprecated, will be removed in the next release; use " + place));
        if (bothAreGiven) {
            findings.add(new Finding(deprecatedPlace, "is the former name of " + place + ", which is given as well"));
        }
    }

    /** The errors found so far; the settings are valid if it is empty once all are read. */
    List<Finding> findings() {
        return findings;
    }

    /** Deprecated names and values in use, which the next release removes. */
    List<Finding> warnings() {
        return warnings;
    }

    /** Adds a finding about a setting. */
    void reject(final String key, final String reason) {
        findings.add(new Finding(place(key), reason));
    }

    /** Adds a finding about a place. */
    void rejectAt(final String place, final String reason) {
        findings.add(new Finding(place, reason));
    }

    /** Adds a warning about a setting. */
    void warn(final String key, final String reason) {
        warnings.add(new Finding(place(key), reason));
    }

    /** The place where a setting is given: a flag, or a JSON pointer into the file. */
    private String place(final String key) {
        final String flag = flagName(key);
        return flag != null ? FLAG_PREFIX + flag : "/" + fileKey(key);
    }

    /** The name, current or deprecated, of the flag that gives the setting; null if none does. */
    private String flagName(final String key) {
        if (flags.hasOption(key)) {
            return key;
        }
        final String deprecatedKey = SettingsKeys.DEPRECATED_KEYS.get(key);
        return deprecatedKey != null && flags.hasOption(deprecatedKey) ? deprecatedKey : null;
    }

    /** The key, current or deprecated, under which the file gives the setting; the current one if it does not. */
    private String fileKey(final String key) {
        final String deprecatedKey = SettingsKeys.DEPRECATED_KEYS.get(key);
        return deprecatedKey != null && !file.containsKey(key) && file.containsKey(deprecatedKey) ? deprecatedKey : key;
    }

    /** A required text; empty, with a finding, if it is not given. */
    String requiredText(final String key) {
        final String text = text(key);
        if (text == null) {
            reject(key, "is missing");
            return "";
        }
        return text;
    }

    /** An optional text; empty if it is not given. */
    String optionalText(final String key) {
        final String text = text(key);
        return text == null ? "" : text;
    }

    /** A text; null if it is not given, empty, with a finding, if it is not a text. */
    private String text(final String key) {
        final String flag = flagName(key);
        if (flag != null) {
            return flags.getOptionValue(flag);
        }
        final JsonValue value = file.get(fileKey(key));
        if (value == null) {
            return null;
        }
        if (value instanceof JsonString string && !string.getString().isEmpty()) {
            return string.getString();
        }
        reject(key, "must be a string that is not empty");
        return "";
    }

    /** A required host:port. */
    String requiredAddress(final String key) {
        return checkedAddress(key, requiredText(key));
    }

    /** An optional host:port; empty if it is not given. */
    String optionalAddress(final String key) {
        return checkedAddress(key, optionalText(key));
    }

    private String checkedAddress(final String key, final String address) {
        if (!address.isEmpty() && !Address.isValid(address)) {
            reject(key, "must be host:port");
        }
        return address;
    }

    /** The entries of a list; empty if it is not given. */
    List<String> list(final String key) {
        final List<String> entries = new ArrayList<>();
        if (flags.hasOption(key)) {
            entries.addAll(List.of(flags.getOptionValue(key).split(LIST_SEPARATOR)));
        } else if (file.get(key) instanceof JsonArray array) {
            array.forEach(value -> entries.add(value instanceof JsonString s ? s.getString() : value.toString()));
        }
        return entries;
    }

    /** The place where an entry of a list is given. */
    String placeOfEntry(final String key, final int index) {
        return flags.hasOption(key) ? FLAG_PREFIX + key + ", entry " + (index + 1) : "/" + key + "/" + index;
    }

    /** An object of the file; empty if it is not given. Adds a finding for each unknown key in it. */
    JsonObject section(final String section, final Set<String> knownKeys) {
        final JsonValue value = file.get(section);
        if (value == null) {
            return JsonValue.EMPTY_JSON_OBJECT;
        }
        if (!(value instanceof JsonObject object)) {
            reject(section, "must be an object");
            return JsonValue.EMPTY_JSON_OBJECT;
        }
        object.keySet().stream()
                .filter(key -> !knownKeys.contains(key))
                .forEach(key -> rejectAt("/" + section + "/" + key, "unknown field"));
        return object;
    }

    /** A number at the top level of the file; a flag with its name takes precedence. */
    long number(final NumberSetting setting) {
        final String flag = flagName(setting.key());
        return flag == null
                ? number(setting, file)
                : checkedNumber(setting, FLAG_PREFIX + flag, flags.getOptionValue(flag));
    }

    /** A number in an object of the file. */
    long number(final NumberSetting setting, final JsonObject section) {
        final JsonValue value = section.get(setting.key());
        if (value != null) {
            return checkedNumber(setting, setting.place(), value instanceof JsonNumber ? value.toString() : "");
        }
        if (setting.defaultValue() == null) {
            rejectAt(setting.place(), "is missing");
            return -1;
        }
        return setting.defaultValue();
    }

    private long checkedNumber(final NumberSetting setting, final String place, final String text) {
        if (text.matches("-?[0-9]{1,18}") && setting.accepts(Long.parseLong(text))) {
            return Long.parseLong(text);
        }
        rejectAt(place, "must be a whole number from " + setting.minimum() + " to " + setting.maximum());
        return -1;
    }

    /** Adds a finding for each unknown key at the top level of the file. */
    void rejectUnknownKeys(final Set<String> knownKeys) {
        for (final String key : file.keySet()) {
            if (!knownKeys.contains(key)) {
                rejectAt("/" + key, "unknown field");
            }
        }
    }

    /** The value of a setting; a deprecated one is replaced by its current one, with a warning. */
    String replaceDeprecatedValue(final String key, final String value, final Map<String, String> deprecatedValues) {
        final String present = deprecatedValues.get(value);
        if (present == null) {
            return value;
        }
        warn(key, "\"" + value + "\" is deprecated, will be removed in the next release; use \"" + present + "\"");
        return present;
    }
}
