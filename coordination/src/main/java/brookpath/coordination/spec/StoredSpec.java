package brookpath.coordination.spec;

/**
 * One version of the configuration as a record of the control log holds it. The document is parsed when it is first
 * asked for: most versions of a run of changes are never read before the next one takes their place.
 */
public final class StoredSpec {
    /** The version before the first change. */
    public static final StoredSpec NONE = new StoredSpec(0, 0, new byte[0], new byte[0], Spec.NONE);

    private final long lsn;
    private final long version;
    private final byte[] document;
    private byte[] lean;
    private Spec spec;

    StoredSpec(final long lsn, final long version, final byte[] document) {
        this(lsn, version, document, null, null);
    }

    private StoredSpec(final long lsn, final long version, final byte[] document, final byte[] lean, final Spec spec) {
        this.lsn = lsn;
        this.version = version;
        this.document = document;
        this.lean = lean;
        this.spec = spec;
    }

    public long lsn() {
        return lsn;
    }

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
            lean = SpecReader.lean(document);
        }
        return lean;
    }

    public Spec spec() {
        if (spec == null) {
            spec = SpecReader.stored(document, version);
        }
        return spec;
    }
}
