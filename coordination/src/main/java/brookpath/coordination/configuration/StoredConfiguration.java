package brookpath.coordination.configuration;

/**
 * One version of the configuration as stored in a record of the control log. The document is parsed on first use, since
 * most versions in a series of changes are replaced before they are read.
 */
public final class StoredConfiguration {
    /** The version before the first change. */
    public static final StoredConfiguration NONE = new StoredConfiguration(0, 0, new byte[0], Configuration.NONE);

    private final long index;
    private final long version;
    private final byte[] document;
    private byte[] packed;
    private Configuration configuration;

    /** The version whose document is stored in the control log record at this index. */
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

    /** The record's index in the control log. */
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
