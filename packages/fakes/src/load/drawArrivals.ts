import type { Random } from './Random.js';

/** One request of an open-loop load. */
export interface Arrival {
  atMs: number;
  /** Name under which the results are summed up. */
  group: string;
  key: string;
  promptTokens: number;
  maxTokens: number;
  headers?: Record<string, string>;
  prefix?: string;
}

/** A steady stream of requests. */
export interface Stream {
  group: string;
  key: string;
  perSecond: number;
  fromMs: number;
  toMs: number;
  /** Shortest and longest prompt. */
  promptTokens: [number, number];
  maxTokens: number;
  headers?: Record<string, string>;
}

/** Draws the arrivals of some streams, in order of time. */
export function drawArrivals(streams: Stream[], random: Random): Arrival[] {
  return streams.flatMap((stream) => drawStream(stream, random)).sort((a, b) => a.atMs - b.atMs);
}

function drawStream(stream: Stream, random: Random): Arrival[] {
  const { group, key, maxTokens, headers } = stream;
  const arrivals: Arrival[] = [];
  let atMs = stream.fromMs + random.gapMs(stream.perSecond);
  while (atMs < stream.toMs) {
    const promptTokens = random.integer(...stream.promptTokens);
    arrivals.push({ atMs, group, key, promptTokens, maxTokens, headers });
    atMs += random.gapMs(stream.perSecond);
  }
  return arrivals;
}
