package brookpath.coordination.configuration;

/**
 * One version of the configuration as a record of the control log holds it. The document is parsed when it is first
 * asked for: most versions of a run of changes are never read before the next one takes their place.
 */
public final class StoredConfiguration {
    /** The version before the first change. */
    public static final StoredConfiguration NONE =
            new StoredConfiguration(0, 0, new byte[0], new byte[0], Configuration.NONE);

    private final long index;
    private final long version;
    private final byte[] document;
    private byte[] lean;
    private Configuration configuration;

    public StoredConfiguration(final long index, final long version, final byte[] document) {
        this(index, version, document, null, null);
    }

    private StoredConfiguration(
            final long index,
            final long version,
            final byte[] document,
            final byte[] lean,
            final Configuration configuration) {
        this.index = index;
        this.version = version;
        this.document = document;
        this.lean = lean;
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

    /** The document as it was sent. */
    public byte[] doc() {
        return document;
    }

    /** The document as the data plane gets it. */
    public byte[] lean() {
        if (lean == null) {
            lean = ConfigurationReader.lean(document);
        }
        return lean;
    }

    /** The parsed document. */
    public Configuration configuration() {
        if (configuration == null) {
            configuration = ConfigurationReader.stored(document, version);
        }
        return configuration;
    }
}
