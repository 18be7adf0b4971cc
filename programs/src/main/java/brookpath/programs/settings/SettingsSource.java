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
 * The values that flags and settings file give, the flags first. What is wrong with a value is collected as a finding,
 * with its place, and reading continues. Used by one thread.
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
        SettingsKeys.FORMER_KEYS.forEach(this::checkFormerKey);
    }

    private void checkFormerKey(final String key, final String formerKey) {
        if (flags.hasOption(formerKey)) {
            deprecated(FLAG_PREFIX + formerKey, FLAG_PREFIX + key, flags.hasOption(key));
        }
        if (file.containsKey(formerKey)) {
            deprecated("/" + formerKey, "/" + key, file.containsKey(key));
        }
    }

    private void deprecated(final String formerPlace, final String place, final boolean bothAreGiven) {
        warnings.add(new Finding(formerPlace, "deprecated, will be removed in the next release; use " + place));
        if (bothAreGiven) {
            findings.add(new Finding(formerPlace, "is the former name of " + place + ", which is given as well"));
        }
    }

    /** What is wrong; the settings are good where it is empty in the end. */
    List<Finding> findings() {
        return findings;
    }

    /** What works for now, but will not in the next release. */
    List<Finding> warnings() {
        return warnings;
    }

    /** Notes that something is wrong with a setting. */
    void reject(final String key, final String reason) {
        findings.add(new Finding(place(key), reason));
    }

    /** Notes that something is wrong at a place. */
    void rejectAt(final String place, final String reason) {
        findings.add(new Finding(place, reason));
    }

    /** Notes that a setting should be given otherwise. */
    void warn(final String key, final String reason) {
        warnings.add(new Finding(place(key), reason));
    }

    /** Where a setting is given: a flag, or a pointer into the file. */
    private String place(final String key) {
        final String flag = flagName(key);
        return flag != null ? FLAG_PREFIX + flag : "/" + fileKey(key);
    }

    /** The name under which a flag gives the setting, null where none does. */
    private String flagName(final String key) {
        if (flags.hasOption(key)) {
            return key;
        }
        final String formerKey = SettingsKeys.FORMER_KEYS.get(key);
        return formerKey != null && flags.hasOption(formerKey) ? formerKey : null;
    }

    /** The name under which the file gives the setting; the present one where it does not. */
    private String fileKey(final String key) {
        final String formerKey = SettingsKeys.FORMER_KEYS.get(key);
        return formerKey != null && !file.containsKey(key) && file.containsKey(formerKey) ? formerKey : key;
    }

    /** A text that must be given; empty, with a finding, where it is not. */
    String requiredText(final String key) {
        final String text = text(key);
        if (text == null) {
            reject(key, "is missing");
            return "";
        }
        return text;
    }

    /** A text, empty where it is not given. */
    String optionalText(final String key) {
        final String text = text(key);
        return text == null ? "" : text;
    }

    /** Null where it is not given; empty, with a finding, where it is no text. */
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

    /** A host:port that must be given. */
    String requiredAddress(final String key) {
        return checkedAddress(key, requiredText(key));
    }

    /** A host:port, empty where it is not given. */
    String optionalAddress(final String key) {
        return checkedAddress(key, optionalText(key));
    }

    private String checkedAddress(final String key, final String address) {
        if (!address.isEmpty() && !Address.isValid(address)) {
            reject(key, "must be host:port");
        }
        return address;
    }

    /** The entries of a list, empty where it is not given. */
    List<String> list(final String key) {
        final List<String> entries = new ArrayList<>();
        if (flags.hasOption(key)) {
            entries.addAll(List.of(flags.getOptionValue(key).split(LIST_SEPARATOR)));
        } else if (file.get(key) instanceof JsonArray array) {
            array.forEach(value -> entries.add(value instanceof JsonString s ? s.getString() : value.toString()));
        }
        return entries;
    }

    /** Where an entry of a list is given. */
    String placeOfEntry(final String key, final int index) {
        return flags.hasOption(key) ? FLAG_PREFIX + key + ", entry " + (index + 1) : "/" + key + "/" + index;
    }

    /** An object of the file, empty where it is not given; a finding for each of its keys that is not known. */
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

    /** A number of the document itself, which a flag of its name precedes. */
    long number(final NumberSetting setting) {
        final String flag = flagName(setting.key());
        return flag == null
                ? number(setting, file)
                : checkedNumber(setting, FLAG_PREFIX + flag, flags.getOptionValue(flag));
    }

    /** A number of a section. */
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

    /** A finding for each key of the file that is not known. */
    void rejectUnknownKeys(final Set<String> knownKeys) {
        for (final String key : file.keySet()) {
            if (!knownKeys.contains(key)) {
                rejectAt("/" + key, "unknown field");
            }
        }
    }

    /** The values of the deprecated names of a setting's values, replaced by the present ones, with a warning. */
    String withoutFormerValues(final String key, final String value, final Map<String, String> formerValues) {
        final String present = formerValues.get(value);
        if (present == null) {
            return value;
        }
        warn(key, "\"" + value + "\" is deprecated, will be removed in the next release; use \"" + present + "\"");
        return present;
    }
}
