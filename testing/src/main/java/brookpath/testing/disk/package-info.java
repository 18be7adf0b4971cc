/** An in-memory disk with the faults of real ones: it loses unsynced data, fills up, flips bits and fails syncs. */
package brookpath.testing.disk;
