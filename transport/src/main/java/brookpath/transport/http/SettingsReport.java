package brookpath.transport.http;

/** What a process says of its settings file on its status page. */
public interface SettingsReport {
    String json();
}
