/** The client closed its connection before the response was complete. */
export class ClientDisconnectedError extends Error {
  override readonly name = 'ClientDisconnectedError';
}
