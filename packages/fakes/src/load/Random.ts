import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded pseudo-random number generator. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Gets a number in `[0, 1)`. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Gets an integer between `from` and `to`, both inclusive. */
  nextInteger(from: number, to: number): number {
    return from + Math.floor(this.next() * (to - from + 1));
  }

  /** Gets an exponentially distributed interarrival time (Poisson process), in milliseconds. */
  nextInterarrivalMs(perSecond: number): number {
    return (-Math.log(1 - this.next()) / perSecond) * 1000;
  }

  /** Gets a random item of a list; throws when the list is empty. */
  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) throw new Error('cannot pick from an empty list');
    return item;
  }
}
