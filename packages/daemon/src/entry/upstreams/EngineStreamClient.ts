import { Agent, request as startRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { createParser } from 'eventsource-parser';
import { EngineHeader, frameSchema } from '@azurecart/protocol';
import type { Frame } from '@azurecart/protocol';
import type { Secret } from '../../secrets/index.js';
import { UpstreamError } from './UpstreamError.js';

/** One attempt to run a prompt on an engine. */
export interface EngineRequest {
  address: string;
  path: string;
  /** Id of this attempt; every frame of the response must carry it. */
  attemptId: string;
  body: Buffer;
  /** Fencing token under which the engine memory was reserved. */
  fence: number;
  /** Lower numbers run first. */
  priority: number;
  /** Memory reserved on this engine, in tokens. */
  tokens: number;
  maxTokens: number;
  /** Number of completion tokens that earlier attempts produced. */
  offset: number;
  /** Addresses of the engines that hold memory for the prompt besides this one, the lead engine. */
  peers: string[];
  /** Whether to bypass the connection pool, because a pooled connection may be dead. */
  needsFreshConnection: boolean;
  signal: AbortSignal;
}

export interface EngineStreamClientOptions {
  upstreamSecret: Secret;
  /** Longest time without socket activity, in milliseconds. */
  idleTimeoutMs: number;
  /** Called for a frame with the id of another request, or with an offset already received. */
  onUnexpectedFrame: (request: EngineRequest, frame: Frame) => void;
}

/** Highest number of concurrent connections to one engine. */
const MAX_SOCKETS = 1024;
/** Maximum length of a frame in characters; bounds the memory that a frame without end occupies. */
const MAX_FRAME_LENGTH = 1024 * 1024;
/** Milliseconds in which the rest of a response must arrive once it is no longer of use. */
const REST_TIMEOUT_MS = 500;

/** Sends prompts to engines and reads the event streams of their responses. */
export class EngineStreamClient {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS, timeout: 0 });

  constructor(private readonly options: EngineStreamClientOptions) {}

  /**
   * Sends a prompt and yields the frames of the response in order and without gaps. The frame with
   * the finish reason is yielded last, once the response has ended or failed, or does not end soon.
   * An error after that frame, such as a lost connection or a frame of another request, is ignored,
   * as the completion is whole.
   * @throws UpstreamError whose outcome tells whether the prompt may have run.
   */
  async *streamCompletion(request: EngineRequest): AsyncGenerator<Frame, void> {
    const httpRequest = this.send(request);
    const response = await getResponse(httpRequest, request);
    let { offset } = request;
    let finalFrame: Frame | undefined;
    try {
      for await (const frame of readFrames(response, request)) {
        if (frame.id !== request.attemptId || frame.offset < offset) {
          this.options.onUnexpectedFrame(request, frame);
          if (frame.id !== request.attemptId) throw new UpstreamError('foreign frame', 'unknown');
          continue;
        }
        if (frame.offset > offset) throw new UpstreamError('gap in the answer', 'unknown');
        offset += frame.tokens;
        if (!frame.finish) {
          yield frame;
          continue;
        }
        finalFrame = frame;
        destroyAfterTimeout(httpRequest, response);
      }
    } catch (error) {
      if (!finalFrame) throw error;
    } finally {
      if (!response.complete) httpRequest.destroy();
    }
    if (!finalFrame) throw new UpstreamError('the answer was cut short', 'unknown');
    yield finalFrame;
  }

  /** Closes idle connections. */
  close(): void {
    this.agent.destroy();
  }

  private send(request: EngineRequest): ClientRequest {
    const httpRequest = startRequest(new URL(request.path, request.address), {
      method: 'POST',
      agent: request.needsFreshConnection ? false : this.agent,
      signal: request.signal,
      headers: {
        authorization: this.options.upstreamSecret.authorization,
        'content-type': 'application/json',
        'content-length': request.body.length,
        [EngineHeader.request]: request.attemptId,
        [EngineHeader.fence]: request.fence,
        [EngineHeader.priority]: request.priority,
        [EngineHeader.tokens]: request.tokens,
        [EngineHeader.maxTokens]: request.maxTokens,
        [EngineHeader.offset]: request.offset,
        [EngineHeader.peers]: request.peers.join(','),
      },
    });
    httpRequest.setTimeout(this.options.idleTimeoutMs, () => {
      httpRequest.destroy(new UpstreamError('the engine fell silent', 'unknown'));
    });
    httpRequest.end(request.body);
    return httpRequest;
  }
}

function parseFrame(data: string): Frame {
  try {
    return frameSchema.parse(JSON.parse(data));
  } catch (error) {
    throw new UpstreamError('malformed frame', 'unknown', { cause: error });
  }
}

/**
 * Wraps a connection error. The prompt is known not to have run only if no connection was
 * established; an error on a reused connection leaves the outcome unknown.
 */
function toUpstreamError(error: Error, httpRequest: ClientRequest): UpstreamError {
  if (error instanceof UpstreamError) return error;
  const isUnconnected = httpRequest.socket === null || httpRequest.socket.connecting;
  const isRefused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
  const outcome = !httpRequest.reusedSocket && (isRefused || isUnconnected) ? 'not-run' : 'unknown';
  return new UpstreamError(error.message, outcome, { cause: error });
}

function getResponse(httpRequest: ClientRequest, request: EngineRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    httpRequest.on('error', (error) => reject(toUpstreamError(error, httpRequest)));
    httpRequest.on('response', (response) => {
      if (response.statusCode === 200) {
        resolve(response);
        return;
      }
      destroyAfterTimeout(httpRequest, response);
      response.resume();
      const isNotRun = response.headers['azurecart-outcome'] === 'not-run';
      const message = `status ${response.statusCode} from ${request.address}`;
      reject(new UpstreamError(message, isNotRun ? 'not-run' : 'unknown'));
    });
  });
}

/** Destroys the connection if the rest of a response does not arrive in time. */
function destroyAfterTimeout(httpRequest: ClientRequest, response: IncomingMessage): void {
  const timer = setTimeout(() => {
    // After a complete response the connection may serve another request.
    if (!response.complete) httpRequest.destroy();
  }, REST_TIMEOUT_MS);
  const stopTimer = (): void => clearTimeout(timer);
  response.once('end', stopTimer);
  response.once('close', stopTimer);
}

async function* readFrames(
  response: IncomingMessage,
  request: EngineRequest,
): AsyncGenerator<Frame> {
  const pendingFrames: Frame[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') return;
      pendingFrames.push(parseFrame(data));
    },
    onError: (error) => {
      if (error.type !== 'max-buffer-size-exceeded') return;
      throw new UpstreamError('frame too long', 'unknown', { cause: error });
    },
    maxBufferSize: MAX_FRAME_LENGTH,
  });
  response.setEncoding('utf8');
  try {
    for await (const chunk of response) {
      parser.feed(chunk as string);
      yield* pendingFrames.splice(0);
    }
  } catch (error) {
    if (error instanceof UpstreamError) throw error;
    throw new UpstreamError(`connection lost to ${request.address}`, 'unknown', { cause: error });
  }
}
