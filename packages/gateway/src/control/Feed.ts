import { deflateRawSync } from 'node:zlib';
import type { UpstreamRecord, UpstreamTable } from '@azurecart/discovery';
import type { Link } from '../links/index.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { METHODS } from './messages.js';
import type { AgedAnnouncement, ClusterNotice, Subscription } from './messages.js';

/** What the feed distributes. */
export interface FeedOptions {
  state: ConfigurationState;
  table: UpstreamTable;
  now: () => number;
  /** False while the configuration held may be older than an acknowledged one. */
  isRecent: () => boolean;
  getCluster: () => Omit<ClusterNotice, 'entries'>;
}

interface Subscriber extends Subscription {
  link: Link;
}

/** Time for which entry processes may take to confirm a departure, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 600;

/** Pushes configuration, upstreams and cluster changes to entry and control processes. */
export class Feed {
  private readonly subscribers = new Set<Subscriber>();

  private deflated: { version: number; bytes: Uint8Array } | undefined;

  constructor(private readonly options: FeedOptions) {}

  /** Adds a subscriber and brings it up to date. */
  addSubscriber(subscription: Subscription, link: Link): void {
    const subscriber = { ...subscription, link };
    this.subscribers.add(subscriber);
    link.ended.then(() => {
      this.subscribers.delete(subscriber);
      this.pushCluster();
    });
    link.notify(METHODS.upstreams, { records: this.options.table.getRecords().map(this.age) });
    this.pushConfigurationTo(subscriber);
    this.pushCluster();
  }

  /** Number of entry processes that follow this control process. */
  get entryCount(): number {
    return this.getEntries().length;
  }

  /** Sends the newest configuration to the entry processes that do not hold it. */
  pushConfiguration(): void {
    this.getEntries().forEach((subscriber) => this.pushConfigurationTo(subscriber));
  }

  /** Sends a changed upstream to everyone who follows. */
  pushUpstream(record: UpstreamRecord): void {
    const body = { records: [this.age(record)] };
    this.subscribers.forEach(({ link }) => link.notify(METHODS.upstreams, body));
  }

  /** Sends a changed upstream and waits until all who can be reached have it. */
  async confirmUpstream(record: UpstreamRecord): Promise<void> {
    const body = { records: [this.age(record)] };
    const calls = [...this.subscribers].map(({ link }) =>
      link.call(METHODS.upstreams, body, CONFIRM_TIMEOUT_MS),
    );
    await Promise.allSettled(calls);
  }

  /** Tells other control processes which upstreams were heard. */
  pushHeard(records: UpstreamRecord[]): void {
    const body = { records: records.map(this.age) };
    for (const { kind, link } of this.subscribers) {
      if (kind === 'control') link.notify(METHODS.upstreams, body);
    }
  }

  /** Tells entry processes who the control processes are. */
  pushCluster(): void {
    const body: ClusterNotice = { ...this.options.getCluster(), entries: this.entryCount };
    this.subscribers.forEach(({ link }) => link.notify(METHODS.cluster, body));
  }

  private readonly age = (record: UpstreamRecord): AgedAnnouncement => {
    const { heardAt, ...announcement } = record;
    return { ...announcement, ageMs: Math.max(0, this.options.now() - heardAt) };
  };

  private getEntries(): Subscriber[] {
    return [...this.subscribers].filter(({ kind }) => kind === 'entry');
  }

  private pushConfigurationTo(subscriber: Subscriber): void {
    const { current } = this.options.state;
    if (
      !current ||
      !this.options.isRecent() ||
      subscriber.kind !== 'entry' ||
      subscriber.version >= current.version
    )
      return;
    if (this.deflated?.version !== current.version)
      this.deflated = { version: current.version, bytes: deflateRawSync(current.document) };
    const { bytes: deflated } = this.deflated;
    subscriber.link.notify(METHODS.configuration, { version: current.version, deflated });
    // eslint-disable-next-line no-param-reassign -- The feed owns its subscribers.
    subscriber.version = current.version;
  }
}
