/**
 * The settings of a process: {@link brookpath.programs.settings.SettingsKeys} has the keys and defaults,
 * {@link brookpath.programs.settings.SettingsReader} reads and checks them into an immutable
 * {@link brookpath.programs.settings.Settings}, and {@link brookpath.programs.settings.SettingsWatch} adopts changes to
 * the file while the process runs.
 */
package brookpath.programs.settings;
