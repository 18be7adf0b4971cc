package brookpath.transport.http;

/** The state of the settings file, for the status page. */
public interface SettingsReport {
    /** A JSON value, read anew at each call. Called on the dispatcher's threads. */
    String json();
}
