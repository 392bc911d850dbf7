import { setTimeout as sleep } from 'node:timers/promises';
import { UpstreamPath } from '@azurecart/protocol';

/** Identity of an upstream and the entry processes that it announces itself to. */
export interface AnnouncerSettings {
  id: string;
  dataCentre: string;
  /** Base URLs of entry processes. */
  entries: string[];
  secret: string;
  announceMs: number;
}

const POST_TIMEOUT_MS = 1500;
const MAX_LEAVE_ATTEMPTS = 20;
const LEAVE_RETRY_DELAY_MS = 100;

/**
 * Announces an upstream periodically. Each message is sent to one entry process; an announcement that
 * is not accepted is sent once more, to the next one.
 */
export class Announcer {
  private sequence = 0;

  private postCount = 0;

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

  /**
   * Announces the departure of the upstream; retries until an entry process has accepted it, and gives
   * up without an error after `MAX_LEAVE_ATTEMPTS`.
   */
  async leave(): Promise<void> {
    this.stop();
    const { incarnation } = this.getAnnouncement();
    for (let attempt = 0; attempt < MAX_LEAVE_ATTEMPTS; attempt += 1) {
      const sequence = this.nextSequence();
      const isAccepted = await this.post(UpstreamPath.leave, { incarnation, sequence }).catch(
        () => false,
      );
      if (isAccepted) return;
      await sleep(LEAVE_RETRY_DELAY_MS);
    }
  }

  /** Posts a message to the next entry process; the rotation takes the place of a load balancer. */
  async post(path: string, body: Record<string, unknown>): Promise<boolean> {
    const { id, dataCentre, entries, secret } = this.settings;
    this.postCount += 1;
    const entryUrl = entries[this.postCount % entries.length] ?? '';
    const response = await fetch(new URL(path, entryUrl), {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, 'content-type': 'application/json' },
      body: JSON.stringify({ id, dataCentre, ...body }),
      signal: AbortSignal.timeout(POST_TIMEOUT_MS),
    });
    await response.text();
    return response.ok;
  }

  /** Creates the next announcement, with a new sequence number. */
  createAnnouncement(): Record<string, unknown> {
    const { id, dataCentre } = this.settings;
    return { id, dataCentre, ...this.getAnnouncement(), sequence: this.nextSequence() };
  }

  private async announce(): Promise<void> {
    const body = this.createAnnouncement();
    const isAccepted = await this.post(UpstreamPath.announce, body).catch(() => false);
    if (!isAccepted)
      await this.post(UpstreamPath.announce, { ...body, sequence: this.nextSequence() });
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}
