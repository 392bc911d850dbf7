/** Thrown when a configuration document cannot be decoded or is inconsistent. */
export class InvalidConfigurationError extends Error {
  override readonly name = 'InvalidConfigurationError';
}
