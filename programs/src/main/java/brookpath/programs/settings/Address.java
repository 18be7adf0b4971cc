package brookpath.programs.settings;

/** Addresses of the form host:port. */
public final class Address {
    private static final int MAX_PORT = 65_535;

    private Address() {}

    /** Whether the text is a host:port. */
    static boolean isValid(final String text) {
        final int separator = text.lastIndexOf(':');
        return separator > 0
                && text.substring(separator + 1).matches("[0-9]{1,5}")
                && Integer.parseInt(text.substring(separator + 1)) <= MAX_PORT;
    }

    /** The host of a valid address. */
    public static String host(final String address) {
        return address.substring(0, address.lastIndexOf(':'));
    }

    /** The port of a valid address. */
    public static int port(final String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
