import { isRepeatable } from './configuration.js';
import type { SoakResult } from './SoakClient.js';

const EVENT = /^id: (\d+)\ndata: (\S+) (\S+) (\d+)\/(\d+)$/;

/** Finds a missing, repeated or foreign event in the answer to a stream; undefined if there is none. */
export function checkStream({ id, route, answer, ending, tokens }: SoakResult): string | undefined {
  const events = answer.split('\n\n');
  // An answer that ends early may end within an event.
  const rest = events.pop();
  const runners = new Set<string>();
  let count = 0;
  for (const [index, event] of events.entries()) {
    const [, number, runner = '', attempt, ownNumber, total] = EVENT.exec(event) ?? [];
    if (number !== String(index + 1) || ownNumber !== number)
      return `event ${index + 1} is: ${event}`;
    if (attempt !== id) return `event ${index + 1} is of request ${attempt}`;
    runners.add(runner);
    count = Number(total);
  }
  if (runners.size > 1 && !isRepeatable(route)) return `joined from ${runners.size} runs`;
  const isWhole = rest === '' && events.length === count && tokens !== undefined;
  return ending === 'answered' && !isWhole ? `complete with ${events.length} events` : undefined;
}
