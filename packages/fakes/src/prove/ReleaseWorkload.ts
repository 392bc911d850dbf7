import type { Fleet } from '../harness/index.js';
import { getSampleRelease } from '../harness/index.js';
import type { Checks } from './Checks.js';

/** Submits competing releases with the same number, and checks which ones were accepted. */
export class ReleaseWorkload {
  /** Number of distinct accepted release numbers, seen in responses or in the status. */
  accepted = 0;

  private readonly digests = new Map<number, string>();

  private highest = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly checks: Checks,
    private readonly overrides: Record<string, unknown>,
  ) {}

  /** Submits the next release number from two operators at the same time, each one twice. */
  async submitConcurrently(): Promise<void> {
    const number = Number((await this.fleet.getStatus()).release?.number ?? 0n) + 1;
    const submissions = ['ana', 'ben', 'ana', 'ben'].map((operator) =>
      this.submit(number, operator),
    );
    const responses = (await Promise.allSettled(submissions)).flatMap((response) =>
      response.status === 'fulfilled' ? [response.value] : [],
    );
    const winners = new Set(
      responses.filter(({ accepted }) => accepted).map(({ digest }) => digest),
    );
    this.checks.check(
      'one-release-for-a-number',
      winners.size <= 1,
      () => `release ${number} was accepted with several digests`,
    );
    responses.forEach(({ digest, accepted }) => {
      if (accepted) this.recordRelease(number, digest);
    });
  }

  /** Submits many competing releases, one number after another. */
  async submitBurst(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) await this.submitConcurrently();
  }

  /** Checks that the latest release number has not decreased. */
  async checkLatest(): Promise<void> {
    const { release } = await this.fleet.getStatus();
    this.recordRelease(Number(release?.number ?? 0n), release?.digest ?? '');
  }

  private recordRelease(number: number, digest: string): void {
    const known = this.digests.get(number);
    if (known === undefined) this.accepted += 1;
    this.digests.set(number, known ?? digest);
    const isSame = known === undefined || known === digest;
    this.checks.check(
      'accepted-release-stays',
      isSame,
      () => `the digest of release ${number} changed`,
    );
    this.checks.check(
      'release-never-goes-back',
      number >= this.highest,
      () => `the release number fell from ${this.highest} to ${number}`,
    );
    this.highest = Math.max(this.highest, number);
  }

  private submit(number: number, operator: string) {
    const release = getSampleRelease(number, { ...this.overrides, note: `by ${operator}` });
    return this.fleet.submit(release, operator);
  }
}
