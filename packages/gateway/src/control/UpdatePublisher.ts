import { deflateRawSync } from 'node:zlib';
import type { UpstreamRecord, UpstreamTable } from '@azurecart/discovery';
import type { Findings, FindingsUpdate } from '../findings/index.js';
import type { Link } from '../links/index.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { METHODS } from './messages.js';
import type { AgedAnnouncement, ClusterUpdate, Subscription } from './messages.js';

/** Options of an {@link UpdatePublisher}. */
export interface UpdatePublisherOptions {
  state: ConfigurationState;
  table: UpstreamTable;
  findings: Findings;
  now: () => number;
  /** Returns false while the local configuration may be older than an acknowledged one. */
  isRecent: () => boolean;
  getCluster: () => Omit<ClusterUpdate, 'entries'>;
}

interface Subscriber extends Subscription {
  link: Link;
}

/** Time limit in milliseconds for subscribers to confirm a changed upstream. */
const CONFIRM_TIMEOUT_MS = 600;

/** Publishes configuration, upstream and cluster changes to entry and control processes. */
export class UpdatePublisher {
  private readonly subscribers = new Set<Subscriber>();

  private deflated: { version: number; bytes: Uint8Array } | undefined;

  constructor(private readonly options: UpdatePublisherOptions) {}

  /** Adds a subscriber and sends it the current state. */
  addSubscriber(subscription: Subscription, link: Link): void {
    const subscriber = { ...subscription, link };
    this.subscribers.add(subscriber);
    link.closed.then(() => {
      this.subscribers.delete(subscriber);
      this.pushCluster();
    });
    link.notify(METHODS.upstreams, {
      records: this.options.table.getRecords().map(this.toAgedAnnouncement),
    });
    // Before the configuration, without which an entry process serves no requests.
    link.notify(METHODS.findings, this.options.findings.getAll());
    this.pushConfigurationTo(subscriber);
    this.pushCluster();
  }

  /** Number of entry processes that are subscribed. */
  get entryCount(): number {
    return this.getEntrySubscribers().length;
  }

  /** Sends the latest configuration to the entry processes that do not have it yet. */
  pushConfiguration(): void {
    this.getEntrySubscribers().forEach((subscriber) => this.pushConfigurationTo(subscriber));
  }

  /** Sends a changed upstream to all subscribers. */
  pushUpstream(record: UpstreamRecord): void {
    const body = { records: [this.toAgedAnnouncement(record)] };
    this.subscribers.forEach(({ link }) => link.notify(METHODS.upstreams, body));
  }

  /** Sends all upstreams to the entry processes, which remove those they have not heard of for long. */
  refreshUpstreams(): void {
    const body = { records: this.options.table.getRecords().map(this.toAgedAnnouncement) };
    this.getEntrySubscribers().forEach(({ link }) => link.notify(METHODS.upstreams, body));
  }

  /** Sends findings to all subscribers but the one that they came from. */
  pushFindings(update: FindingsUpdate, source?: Link): void {
    this.subscribers.forEach(({ link }) => {
      if (link !== source) link.notify(METHODS.findings, update);
    });
  }

  /** Sends a changed upstream and waits until all subscribers have confirmed it or timed out. */
  async confirmUpstream(record: UpstreamRecord): Promise<void> {
    const body = { records: [this.toAgedAnnouncement(record)] };
    const calls = [...this.subscribers].map(({ link }) =>
      link.call(METHODS.upstreams, body, CONFIRM_TIMEOUT_MS),
    );
    await Promise.allSettled(calls);
  }

  /** Sends upstreams that announced themselves to this process to the other control processes. */
  shareUpstreams(records: UpstreamRecord[]): void {
    const body = { records: records.map(this.toAgedAnnouncement) };
    for (const { kind, link } of this.subscribers) {
      if (kind === 'control') link.notify(METHODS.upstreams, body);
    }
  }

  /** Sends the cluster members and the number of entry processes to all subscribers. */
  pushCluster(): void {
    const body: ClusterUpdate = { ...this.options.getCluster(), entries: this.entryCount };
    this.subscribers.forEach(({ link }) => link.notify(METHODS.cluster, body));
  }

  private readonly toAgedAnnouncement = (record: UpstreamRecord): AgedAnnouncement => {
    const { lastSeenAt, ...announcement } = record;
    return { ...announcement, ageMs: Math.max(0, this.options.now() - lastSeenAt) };
  };

  private getEntrySubscribers(): Subscriber[] {
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
    // eslint-disable-next-line no-param-reassign -- The publisher owns its subscribers.
    subscriber.version = current.version;
  }
}
