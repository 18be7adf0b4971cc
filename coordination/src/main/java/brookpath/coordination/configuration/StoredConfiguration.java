package brookpath.coordination.configuration;

/**
 * One version of the configuration as a record of the control log holds it. The document is parsed on first use: most
 * versions of a series of changes are never read before the next one replaces them.
 */
public final class StoredConfiguration {
    /** The version before the first change. */
    public static final StoredConfiguration NONE = new StoredConfiguration(0, 0, new byte[0], Configuration.NONE);

    private final long index;
    private final long version;
    private final byte[] document;
    private byte[] packed;
    private Configuration configuration;

    /** The version whose document is held by the record at this index of the control log. */
    public StoredConfiguration(final long index, final long version, final byte[] document) {
        this(index, version, document, null);
    }

    private StoredConfiguration(
            final long index, final long version, final byte[] document, final Configuration configuration) {
        this.index = index;
        this.version = version;
        this.document = document;
        this.configuration = configuration;
    }

    /** The record's position in the control log. */
    public long index() {
        return index;
    }

    /** The configuration's version. */
    public long version() {
        return version;
    }

    /** The document as the operator sent it. */
    public byte[] document() {
        return document;
    }

    /** The configuration as it is sent to the processes that apply it, see {@link PackedConfiguration}. */
    public byte[] packed() {
        if (packed == null) {
            packed = PackedConfiguration.encode(configuration());
        }
        return packed;
    }

    /** The parsed document. */
    public Configuration configuration() {
        if (configuration == null) {
            configuration = ConfigurationReader.stored(document, version);
        }
        return configuration;
    }
}
