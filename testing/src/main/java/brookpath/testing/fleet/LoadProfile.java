package brookpath.testing.fleet;

/**
 * The rates of a user.
 *
 * @param perSecond messages a second, over all topics
 */
public record LoadProfile(String name, int topics, double perSecond, int sessions, int tenants) {
    /** The user with few topics and a middling rate. */
    public static final LoadProfile JADRAN = new LoadProfile("jadran", 110, 45, 400, 8);

    /** The user with many topics and a high rate. */
    public static final LoadProfile SAJHA = new LoadProfile("sajha", 450, 95, 400, 8);

    /** For quick runs. */
    public static final LoadProfile SMALL = new LoadProfile("small", 12, 30, 24, 3);

    /** The profile of this name; the small one for any other. */
    static LoadProfile named(final String name) {
        return switch (name) {
            case "jadran" -> JADRAN;
            case "sajha" -> SAJHA;
            default -> SMALL;
        };
    }

    /** The name of a topic; they lie in three spaces by turns. */
    public String topic(final int index) {
        return switch (index % 3) {
            case 0 -> "permits/t" + index;
            case 1 -> "closures/t" + index;
            default -> "clues/t" + index;
        };
    }

    /** The key that a session uses. A few tenants are large: the first has half of the sessions, and so on. */
    public String key(final int session) {
        final int tenant = 31 - Integer.numberOfLeadingZeros(1 + session % (1 << tenants));
        return keyOfTenant(Math.min(tenants - 1, tenant));
    }

    /** The only key of a tenant. */
    public String keyOfTenant(final int tenant) {
        return "key-tenant-" + tenant;
    }

    /** The tenant that half of the sessions belong to, and whose key operators take away and give back. */
    public String shakyKey() {
        return keyOfTenant(tenants - 1);
    }

    /** A configuration with all keys. */
    public String document(final long basedOn, final String changeId) {
        return document(basedOn, changeId, true);
    }

    /** A configuration, with or without the key that operators take away and give back. */
    public String document(final long basedOn, final String changeId, final boolean withShaky) {
        final StringBuilder json =
                new StringBuilder("{\"basedOn\":" + basedOn + ",\"changeId\":\"" + changeId + "\",\"spaces\":["
                        + "{\"name\":\"permits\",\"keepingSeconds\":30},{\"name\":\"closures\",\"keepingSeconds\":30},"
                        + "{\"name\":\"clues\",\"keepingSeconds\":30,\"order\":\"one\"}],\"tenants\":[");
        for (int tenant = 0; tenant < tenants; tenant++) {
            final boolean withKey = withShaky || tenant < tenants - 1;
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
