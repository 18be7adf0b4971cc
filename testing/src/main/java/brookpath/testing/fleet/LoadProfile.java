package brookpath.testing.fleet;

/**
 * The load of one of the service's users: its topics, sessions, tenants and message rate.
 *
 * @param perSecond messages per second, over all topics
 */
public record LoadProfile(String name, int topics, double perSecond, int sessions, int tenants) {
    /** A user with few topics and a moderate rate. */
    public static final LoadProfile JADRAN = new LoadProfile("jadran", 110, 45, 400, 8);

    /** A user with many topics and a high rate. */
    public static final LoadProfile SAJHA = new LoadProfile("sajha", 450, 95, 400, 8);

    /** A small load for quick runs. */
    public static final LoadProfile SMALL = new LoadProfile("small", 12, 30, 24, 3);

    /** The profile with this name; the small one if there is none. */
    static LoadProfile named(final String name) {
        return switch (name) {
            case "jadran" -> JADRAN;
            case "sajha" -> SAJHA;
            default -> SMALL;
        };
    }

    /** The name of a topic; the topics are spread evenly over three spaces. */
    public String topic(final int index) {
        return switch (index % 3) {
            case 0 -> "permits/t" + index;
            case 1 -> "closures/t" + index;
            default -> "clues/t" + index;
        };
    }

    /**
     * The key that a session uses. The tenants differ in size: each has twice as many sessions as the one before it.
     */
    public String key(final int session) {
        final int tenant = 31 - Integer.numberOfLeadingZeros(1 + session % (1 << tenants));
        return keyOfTenant(Math.min(tenants - 1, tenant));
    }

    /** The only key of a tenant. */
    public String keyOfTenant(final int tenant) {
        return "key-tenant-" + tenant;
    }

    /** The key that operators revoke and restore. It belongs to the largest tenant, with half of the sessions. */
    public String revocableKey() {
        return keyOfTenant(tenants - 1);
    }

    /** A configuration document with all keys. */
    public String document(final long basedOn, final String changeId) {
        return document(basedOn, changeId, true);
    }

    /** A configuration document, with or without the key that operators revoke and restore. */
    public String document(final long basedOn, final String changeId, final boolean withRevocableKey) {
        final StringBuilder json =
                new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":["
                        + "{\"name\":\"permits\",\"keepingSeconds\":30},{\"name\":\"closures\",\"keepingSeconds\":30},"
                        + "{\"name\":\"clues\",\"keepingSeconds\":30,\"order\":\"one\"}],\"tenants\":[");
        for (int tenant = 0; tenant < tenants; tenant++) {
            final boolean withKey = withRevocableKey || tenant < tenants - 1;
            json.append(tenant == 0 ? "" : ",")
                    .append("{\"name\":\"tenant-")
                    .append(tenant)
                    .append("\",\"spaces\":[\"permits\",\"closures\",\"clues\"],\"keys\":[")
                    .append(withKey ? "\"" + keyOfTenant(tenant) + "\"" : "")
                    .append("]}");
        }
        return json.append("]}").toString();
    }
}
