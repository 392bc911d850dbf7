/** The client has gone. */
export class ClientGone extends Error {
  override readonly name = 'ClientGone';
}
