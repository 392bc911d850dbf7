import type { Fleet } from '../harness/index.js';
import { getSampleRelease } from '../harness/index.js';
import type { Checks } from './Checks.js';

/** Operators who race with equal numbers and resend, and what they were told. */
export class Releases {
  accepted = 0;

  private readonly digests = new Map<number, string>();

  private highest = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly checks: Checks,
    private readonly changes: Record<string, unknown>,
  ) {}

  /** Two operators submit the next number; both resend. */
  async race(): Promise<void> {
    const number = Number((await this.fleet.getStatus()).release?.number ?? 0n) + 1;
    const submits = ['ana', 'ben', 'ana', 'ben'].map((operator) => this.submit(number, operator));
    const answers = (await Promise.allSettled(submits)).flatMap((answer) =>
      answer.status === 'fulfilled' ? [answer.value] : [],
    );
    const winners = new Set(answers.filter(({ accepted }) => accepted).map(({ digest }) => digest));
    this.checks.check('one-release-for-a-number', winners.size <= 1, () => `number ${number}`);
    answers.forEach(({ digest, accepted }) => {
      if (accepted) this.note(number, digest);
    });
  }

  /** Submits many releases one after another. */
  async burst(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await this.race();
  }

  /** Checks that the latest release has not gone back. */
  async checkLatest(): Promise<void> {
    const { release } = await this.fleet.getStatus();
    this.note(Number(release?.number ?? 0n), release?.digest ?? '');
  }

  private note(number: number, digest: string): void {
    const known = this.digests.get(number);
    if (known === undefined) this.accepted += 1;
    this.digests.set(number, known ?? digest);
    const isSame = known === undefined || known === digest;
    this.checks.check('accepted-release-stays', isSame, () => `release ${number} changed`);
    this.checks.check(
      'release-never-goes-back',
      number >= this.highest,
      () => `${this.highest} became ${number}`,
    );
    this.highest = Math.max(this.highest, number);
  }

  private submit(number: number, operator: string) {
    const release = getSampleRelease(number, { ...this.changes, note: `by ${operator}` });
    return this.fleet.submit(release, operator);
  }
}
