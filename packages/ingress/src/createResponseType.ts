import { ServerResponse } from 'node:http';
import type { IncomingMessage } from 'node:http';

/**
 * Creates a type of responses whose creation is reported. A server creates a response for each head
 * that it parses, also for those that it refuses without an event.
 */
export function createResponseType(
  onCreate: (request: IncomingMessage, response: ServerResponse) => void,
): typeof ServerResponse {
  return class<Request extends IncomingMessage = IncomingMessage> extends ServerResponse<Request> {
    constructor(...parameters: [Request]) {
      super(...parameters);
      onCreate(parameters[0], this);
    }
  };
}
