package brookpath.transport.http;

/** The state of the settings file, for the status page. */
public interface SettingsReport {
    /** The current state as a JSON value. Called on the threads of the HTTP interface. */
    String json();
}
