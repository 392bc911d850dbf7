/** Thrown when the settings file is not valid. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}
