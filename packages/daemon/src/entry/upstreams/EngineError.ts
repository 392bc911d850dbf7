/** Thrown when an engine rejects a request, sends an unexpected response or does not respond. */
export class EngineError extends Error {
  override readonly name = 'EngineError';

  /** Whether the request failed because no process listens on the port of the engine. */
  get isConnectionRefused(): boolean {
    return (this.cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
  }
}
