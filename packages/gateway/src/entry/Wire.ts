import type { IncomingHttpHeaders } from 'node:http';

/** What a client says of its request. */
export interface RequestTerms {
  /** Identity of this attempt; upstreams echo it. */
  attemptId: string | undefined;
  /** Milliseconds that the client will wait. */
  deadlineMs: number | undefined;
  /** The customer's key. */
  key: string | undefined;
  /** Tokens of the prompt; undefined when the request describes none. */
  promptTokens: number | undefined;
  /** Most tokens of the answer. */
  answerTokens: number | undefined;
  /** Id of the last event that the client has of a stream it resumes. */
  lastEventId: string | undefined;
}

/** What the system adds to a request on its way to an upstream. */
export interface DispatchTerms {
  upstreamId: string;
  customer: string | undefined;
  remainingMs: number;
  lastEventId: string | undefined;
  /** 0 to 9, 0 first. */
  priority: number | undefined;
  /** Upstreams that read parts of the prompt. */
  helpers: Helper[];
}

/** An upstream that reads a part of a prompt, and the ticket of the memory for it. */
export interface Helper {
  address: string;
  ticket?: string;
}

/** An order about memory that a prompt of several engines needs, or a question whether one lives. */
export type EngineOrder =
  | { kind: 'reserve'; ticket: string; tokens: number; holdMs: number }
  | { kind: 'release'; ticket: string }
  | { kind: 'report' };

/** A call that gives an upstream an order. */
export interface OrderMessage {
  method: string;
  path: string;
  headers: [string, string][];
  body: Buffer;
}

/** What the headers of an upstream's answer say. */
export interface AnswerTerms {
  attemptId: string | undefined;
  /** True when the upstream states that the request did not run. */
  isNotRun: boolean;
  /** Id or address of the upstream that is the reason why the request did not run. */
  faultyUpstream: string | undefined;
  /** True when the answer carries the upstream's signature. */
  isSigned: boolean;
}

/** Translates the headers of clients and upstreams. */
export interface Wire {
  readRequest(headers: IncomingHttpHeaders): RequestTerms;
  /** Gets the headers to send on: the client's, without those that the system sets itself. */
  writeRequest(rawHeaders: string[], terms: DispatchTerms): [string, string][];
  readAnswer(status: number, headers: IncomingHttpHeaders): AnswerTerms;
  writeOrder(upstreamId: string, order: EngineOrder): OrderMessage;
  /** Path at which the balancer asks whether the process takes requests. */
  readonly readinessPath: string;
}
