import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';

/** Who announces itself, and where. */
export interface AnnouncerSettings {
  id: string;
  dataCentre: string;
  entries: string[];
  secret: string;
  announceMs: number;
}

const TIMEOUT_MS = 1500;

/** Announces an upstream again and again; each message reaches one entry process only. */
export class Announcer {
  private sequence = 0;

  private turn = 0;

  private isStopped = false;

  constructor(
    private readonly settings: AnnouncerSettings,
    private readonly getAnnouncement: () => Record<string, unknown>,
  ) {}

  async run(): Promise<void> {
    while (!this.isStopped) {
      await this.announce().catch(() => undefined);
      await sleep(this.settings.announceMs);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Tells that the upstream leaves; repeats until an entry process has taken it. */
  async leave(): Promise<void> {
    this.stop();
    const { incarnation } = this.getAnnouncement();
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const sequence = this.nextSequence();
      const isTaken = await this.post(UpstreamPath.leave, { incarnation, sequence }).catch(
        () => false,
      );
      if (isTaken) return;
      await sleep(100);
    }
  }

  /** Posts a message through the stand-in for the balancer. */
  async post(path: string, body: Record<string, unknown>): Promise<boolean> {
    const { id, dataCentre, entries, secret } = this.settings;
    this.turn += 1;
    const base = entries[this.turn % entries.length] ?? '';
    const response = await fetch(new URL(path, base), {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
      body: JSON.stringify({ id, dataCentre, ...body }),
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    await response.text();
    return response.ok;
  }

  /** Gets the next announcement as it would be posted. */
  next(): Record<string, unknown> {
    const { id, dataCentre } = this.settings;
    return { id, dataCentre, ...this.getAnnouncement(), sequence: this.nextSequence() };
  }

  private async announce(): Promise<void> {
    const body = this.next();
    const isTaken = await this.post(UpstreamPath.announce, body).catch(() => false);
    if (!isTaken)
      await this.post(UpstreamPath.announce, { ...body, sequence: this.nextSequence() });
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}
