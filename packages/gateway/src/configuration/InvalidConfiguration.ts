/** Thrown when a configuration document cannot be decoded or is inconsistent. */
export class InvalidConfiguration extends Error {
  override readonly name = 'InvalidConfigurationError';
}
