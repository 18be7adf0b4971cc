package brookpath.coordination.text;

/** Writes a flat JSON object with string values, field by field. Not thread-safe. */
public final class JsonText {
    private static final String HEX_DIGITS = "0123456789abcdef";
    private static final int HEX_DIGITS_PER_CHARACTER = 4;
    private static final int BITS_PER_HEX_DIGIT = 4;

    private final StringBuilder text = new StringBuilder("{");

    /** Adds a field; neither argument is null. */
    public JsonText field(final String name, final String value) {
        if (text.length() > 1) {
            text.append(',');
        }
        quote(name);
        text.append(':');
        quote(value);
        return this;
    }

    private void quote(final String value) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            append(value.charAt(i));
        }
        text.append('"');
    }

    private void append(final char character) {
        if (character == '"' || character == '\\') {
            text.append('\\').append(character);
        } else if (character < ' ') {
            appendEscaped(character);
        } else {
            text.append(character);
        }
    }

    private void appendEscaped(final char character) {
        text.append("\\u");
        for (int digit = HEX_DIGITS_PER_CHARACTER - 1; digit >= 0; digit--) {
            text.append(HEX_DIGITS.charAt((character >> (digit * BITS_PER_HEX_DIGIT)) & 0xf));
        }
    }

    /** The text of the JSON object. */
    @Override
    public String toString() {
        return text + "}";
    }
}
