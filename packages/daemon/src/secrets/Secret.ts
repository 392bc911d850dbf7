import { createHash, timingSafeEqual } from 'node:crypto';
import { readFile } from 'node:fs/promises';

/** Shared secret. Its JSON form is masked to keep it out of logs. */
export class Secret {
  private readonly digest: Buffer;

  constructor(private readonly value: string) {
    this.digest = hash(value);
  }

  /**
   * Loads a secret from a file; surrounding white space is removed.
   * @throws Error when the file is empty.
   */
  static async load(file: string): Promise<Secret> {
    const value = (await readFile(file, 'utf8')).trim();
    if (value.length === 0) throw new Error(`secret file ${file} is empty`);
    return new Secret(value);
  }

  /** Gets the value of the `authorization` header that presents this secret. */
  get authorization(): string {
    return `Bearer ${this.value}`;
  }

  /** Tests whether an `authorization` header has this secret; the comparison is constant-time. */
  matchesAuthorization(authorization: string | undefined | null): boolean {
    const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? '';
    return timingSafeEqual(hash(token), this.digest);
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Masks every value alike.
  toJSON(): string {
    return '[secret]';
  }
}

function hash(value: string): Buffer {
  return createHash('sha256').update(value).digest();
}
