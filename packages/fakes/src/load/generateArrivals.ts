import type { Random } from './Random.js';

/** One request of an open-loop load. */
export interface Arrival {
  atMs: number;
  /** Name of the group that the result is aggregated under. */
  group: string;
  key: string;
  promptTokens: number;
  maxTokens: number;
  headers?: Record<string, string>;
  prefix?: string;
}

/** Poisson arrivals at a constant rate between two points in time. */
export interface RequestStream {
  group: string;
  key: string;
  perSecond: number;
  fromMs: number;
  toMs: number;
  /** Minimum and maximum prompt length in tokens, both inclusive. */
  promptTokens: [number, number];
  maxTokens: number;
  headers?: Record<string, string>;
}

/** Generates the arrivals of all streams, sorted by time. */
export function generateArrivals(streams: RequestStream[], random: Random): Arrival[] {
  return streams
    .flatMap((stream) => generateStreamArrivals(stream, random))
    .sort((a, b) => a.atMs - b.atMs);
}

function generateStreamArrivals(stream: RequestStream, random: Random): Arrival[] {
  const { group, key, maxTokens, headers } = stream;
  const arrivals: Arrival[] = [];
  let atMs = stream.fromMs + random.nextInterarrivalMs(stream.perSecond);
  while (atMs < stream.toMs) {
    const promptTokens = random.nextInteger(...stream.promptTokens);
    arrivals.push({ atMs, group, key, promptTokens, maxTokens, headers });
    atMs += random.nextInterarrivalMs(stream.perSecond);
  }
  return arrivals;
}
