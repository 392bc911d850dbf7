/** Thrown when an engine rejects a request, sends an unexpected response or does not respond. */
export class EngineError extends Error {
  override readonly name = 'EngineError';
}
