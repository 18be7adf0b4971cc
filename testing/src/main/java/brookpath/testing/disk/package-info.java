/** A disk in memory that fails as real ones do: it loses what was not synced, fills up, decays, and fails syncs. */
package brookpath.testing.disk;
