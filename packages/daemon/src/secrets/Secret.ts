import { createHash, timingSafeEqual } from 'node:crypto';
import { readFile } from 'node:fs/promises';

/** A shared secret. It never appears in logs: its JSON and text forms are masked. */
export class Secret {
  private readonly digest: Buffer;

  constructor(private readonly value: string) {
    this.digest = hash(value);
  }

  /** Loads a secret from a file; surrounding white space does not count. */
  static async load(file: string): Promise<Secret> {
    const value = (await readFile(file, 'utf8')).trim();
    if (value.length === 0) throw new Error(`secret file ${file} is empty`);
    return new Secret(value);
  }

  /** Gets the value of an `authorization` header. */
  get authorization(): string {
    return `Bearer ${this.value}`;
  }

  /** Compares an `authorization` header in constant time. */
  isPresentedBy(authorization: string | undefined | null): boolean {
    const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1] ?? '';
    return timingSafeEqual(hash(token), this.digest);
  }

  // eslint-disable-next-line @typescript-eslint/class-methods-use-this -- Masks the value whatever it is.
  toJSON(): string {
    return '[secret]';
  }
}

function hash(value: string): Buffer {
  return createHash('sha256').update(value).digest();
}
