/**
 * The configuration: {@link brookpath.coordination.configuration.Configuration} is one immutable version, which
 * operators replace as a whole; {@link brookpath.coordination.configuration.ConfigurationReader} parses a document,
 * {@link brookpath.coordination.configuration.VersionUpdates} encodes deltas between versions, and
 * {@link brookpath.coordination.configuration.ConfigurationClient} owns a process's copy of it and the configuration
 * lease, on the state thread.
 */
package brookpath.coordination.configuration;
