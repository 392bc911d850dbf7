/** The settings file cannot be used. */
export class SettingsFault extends Error {
  override readonly name = 'SettingsFault';
}
