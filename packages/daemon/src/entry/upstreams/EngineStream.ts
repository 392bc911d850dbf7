import { Agent, request as startRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import { EngineHeader, frameSchema } from '@azurecart/protocol';
import type { Frame } from '@azurecart/protocol';
import type { Secret } from '../../secrets/index.js';
import { StreamFault } from './StreamFault.js';

/** A prompt to be sent to an engine. */
export interface EngineCall {
  address: string;
  path: string;
  /** Id of this attempt; every frame of the answer must carry it. */
  request: string;
  body: Buffer;
  fence: number;
  priority: number;
  tokens: number;
  maxTokens: number;
  /** Answer tokens already produced by earlier attempts. */
  offset: number;
  peers: string[];
  /** True when the connection must be a new one, because a reused one may have gone silent. */
  needsFreshConnection: boolean;
  signal: AbortSignal;
}

/** What streams from engines need. */
export interface EngineStreamsOptions {
  upstreamSecret: Secret;
  /** Longest silence within an answer. */
  silenceMs: number;
  /** Tells of a frame of another request, or of one that came late. */
  onForeignFrame: (call: EngineCall, frame: Frame) => void;
}

const MAX_SOCKETS = 1024;

/** Sends prompts to engines and reads the frames of their answers. */
export class EngineStreams {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, timeout: 0 });

  constructor(private readonly options: EngineStreamsOptions) {}

  /**
   * Sends a prompt and gets the frames of its answer in order, without gaps. The frame that ends
   * the answer comes last.
   * @throws StreamFault telling whether the prompt can have run.
   */
  async *open(call: EngineCall): AsyncGenerator<Frame, void> {
    const request = this.send(call);
    const response = await getResponse(request, call);
    let { offset } = call;
    let last: Frame | undefined;
    try {
      for await (const frame of readFrames(response, call)) {
        if (frame.id !== call.request || frame.offset < offset) {
          this.options.onForeignFrame(call, frame);
          if (frame.id !== call.request) throw new StreamFault('foreign frame', 'unknown');
          continue;
        }
        if (frame.offset > offset) throw new StreamFault('gap in the answer', 'unknown');
        offset += frame.tokens;
        if (frame.finish) last = frame;
        else yield frame;
      }
    } catch (error) {
      if (!last) throw error;
    } finally {
      if (!response.complete) request.destroy();
    }
    if (!last) throw new StreamFault('the answer was cut short', 'unknown');
    yield last;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private send(call: EngineCall): ClientRequest {
    const request = startRequest(new URL(call.path, call.address), {
      method: 'POST',
      agent: call.needsFreshConnection ? false : this.agent,
      signal: call.signal,
      headers: {
        authorization: this.options.upstreamSecret.authorization,
        'content-type': 'application/json',
        'content-length': call.body.length,
        [EngineHeader.request]: call.request,
        [EngineHeader.fence]: call.fence,
        [EngineHeader.priority]: call.priority,
        [EngineHeader.tokens]: call.tokens,
        [EngineHeader.maxTokens]: call.maxTokens,
        [EngineHeader.offset]: call.offset,
        [EngineHeader.peers]: call.peers.join(','),
      },
    });
    request.setTimeout(this.options.silenceMs, () => {
      request.destroy(new StreamFault('the engine fell silent', 'unknown'));
    });
    request.end(call.body);
    return request;
  }
}

function parseFrame(data: string): Frame {
  try {
    return frameSchema.parse(JSON.parse(data));
  } catch (error) {
    throw new StreamFault('malformed frame', 'unknown', { cause: error });
  }
}

/** A prompt has not run only when no connection came about. */
function toFault(error: Error, request: ClientRequest): StreamFault {
  if (error instanceof StreamFault) return error;
  const isUnconnected = request.socket === null || request.socket.connecting;
  const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  const outcome = !request.reusedSocket && (isRefused || isUnconnected) ? 'not-run' : 'unknown';
  return new StreamFault(error.message, outcome, { cause: error });
}

function getResponse(request: ClientRequest, call: EngineCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.on('error', (error) => reject(toFault(error, request)));
    request.on('response', (response) => {
      if (response.statusCode === 200) {
        resolve(response);
        return;
      }
      response.resume();
      const wasRefused = response.headers['azurecart-outcome'] === 'not-run';
      const reason = `status ${response.statusCode} from ${call.address}`;
      reject(new StreamFault(reason, wasRefused ? 'not-run' : 'unknown'));
    });
  });
}

async function* readFrames(response: IncomingMessage, call: EngineCall): AsyncGenerator<Frame> {
  const ready: Frame[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') return;
      ready.push(parseFrame(data));
    },
  });
  response.setEncoding('utf8');
  try {
    for await (const text of response) {
      parser.feed(text as string);
      yield* ready.splice(0);
    }
  } catch (error) {
    if (error instanceof StreamFault) throw error;
    throw new StreamFault(`connection lost to ${call.address}`, 'unknown', { cause: error });
  }
}
