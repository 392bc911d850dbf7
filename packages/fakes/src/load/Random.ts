import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Random numbers that a seed determines. */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Gets a number from 0 to below 1. */
  next(): number {
    return uniformFloat64(this.generator);
  }

  /** Gets a whole number of a range, both ends included. */
  integer(from: number, to: number): number {
    return from + Math.floor(this.next() * (to - from + 1));
  }

  /** Gets a time between two arrivals at a rate, in milliseconds. */
  gapMs(perSecond: number): number {
    return (-Math.log(1 - this.next()) / perSecond) * 1000;
  }

  /** Gets one item of a list. */
  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  }
}
