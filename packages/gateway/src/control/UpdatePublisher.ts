import { deflateRawSync } from 'node:zlib';
import type { UpstreamRecord, UpstreamTable } from '@azurecart/discovery';
import type { Findings, FindingsUpdate } from '../findings/index.js';
import { encodeNotification } from '../links/index.js';
import type { Link } from '../links/index.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { METHODS } from './messages.js';
import type {
  AgedAnnouncement,
  AppliedConfiguration,
  ClusterUpdate,
  Subscription,
} from './messages.js';

/** Options of an {@link UpdatePublisher}. */
export interface UpdatePublisherOptions {
  state: ConfigurationState;
  table: UpstreamTable;
  findings: Findings;
  now: () => number;
  /** Returns false while the local configuration may be older than an acknowledged one. */
  isRecent: () => boolean;
  getCluster: () => Omit<ClusterUpdate, 'entries'>;
  /** Returns true for an upstream of which only the disk tells. */
  isUnconfirmed: (record: UpstreamRecord) => boolean;
  dataCentre: string;
}

interface Subscriber extends Subscription {
  link: Link;
  /** Monotonic time since which its configuration is not the latest one. */
  behindSince: number | undefined;
  /** Revision of the evacuations that it was sent. */
  evacuationRevision: number | undefined;
}

/** Time limit in milliseconds for subscribers to confirm a changed upstream. */
const CONFIRM_TIMEOUT_MS = 600;

/**
 * Milliseconds for which a configuration is left to the control process in the data centre of an
 * entry process, before the others send it as well.
 */
const REMOTE_DELAY_MS = 250;
/** Number of refreshes after which entry processes in other data centres get one. */
const REMOTE_REFRESH_INTERVAL = 4;
/** Milliseconds for which changes of the number of entry processes are collected. */
const CLUSTER_DELAY_MS = 100;

/**
 * Publishes configuration, upstream and cluster changes to entry and control processes. All control
 * processes know the same, so what is large and not urgent is left to the one in the same data centre,
 * and comes from the others only if that one fails.
 */
export class UpdatePublisher {
  private readonly subscribers = new Set<Subscriber>();

  private refreshCount = 0;

  private clusterTimer: NodeJS.Timeout | undefined;

  private deflated: { version: number; bytes: Uint8Array } | undefined;

  constructor(private readonly options: UpdatePublisherOptions) {}

  /** Adds a subscriber and sends it the current state. */
  addSubscriber(subscription: Subscription, link: Link): void {
    const subscriber: Subscriber = {
      ...subscription,
      link,
      behindSince: undefined,
      evacuationRevision: undefined,
    };
    this.subscribers.add(subscriber);
    link.subscribe(({ method, body }) => {
      if (method === METHODS.applied)
        recordVersion(subscriber, (body as AppliedConfiguration).version);
    });
    link.closed.then(() => {
      this.subscribers.delete(subscriber);
      this.pushClusterSoon();
    });
    link.notify(METHODS.upstreams, {
      records: this.getRecordsFor(subscriber).map(this.toAgedAnnouncement),
    });
    // Before the configuration, without which an entry process serves no requests.
    link.notify(METHODS.findings, this.options.findings.getAll());
    this.pushStateTo(subscriber);
    this.pushClusterTo([subscriber]);
    this.pushClusterSoon();
  }

  /** Number of entry processes that are subscribed. */
  get entryCount(): number {
    return this.getEntrySubscribers().length;
  }

  /**
   * Sends the latest configuration to the entry processes that do not have it yet, and the evacuated
   * data centres to those that were not sent them.
   */
  pushState(): void {
    this.getEntrySubscribers().forEach((subscriber) => this.pushStateTo(subscriber));
  }

  /** Sends a changed upstream to all subscribers. */
  pushUpstream(record: UpstreamRecord): void {
    const body = { records: [this.toAgedAnnouncement(record)] };
    notifyAll(this.subscribers, METHODS.upstreams, body);
  }

  /**
   * Sends all upstreams to the entry processes, which remove those they have not heard of for long.
   * Those in other data centres get them less often.
   */
  refreshUpstreams(): void {
    const body = { records: this.options.table.getRecords().map(this.toAgedAnnouncement) };
    this.refreshCount += 1;
    const includesRemote = this.refreshCount % REMOTE_REFRESH_INTERVAL === 0;
    const subscribers = this.getEntrySubscribers().filter(
      (subscriber) => includesRemote || this.isNear(subscriber),
    );
    notifyAll(subscribers, METHODS.upstreams, body);
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
    const subscribers = [...this.subscribers].filter(({ kind }) => kind === 'control');
    notifyAll(subscribers, METHODS.upstreams, body);
  }

  /** Sends the cluster members and the number of entry processes to all subscribers. */
  pushCluster(): void {
    this.pushClusterTo([...this.subscribers]);
  }

  /** Sends what several subscribers that come or leave change once to all. */
  private pushClusterSoon(): void {
    if (this.clusterTimer) return;
    this.clusterTimer = setTimeout(() => {
      this.clusterTimer = undefined;
      this.pushCluster();
    }, CLUSTER_DELAY_MS).unref();
  }

  private pushClusterTo(subscribers: Subscriber[]): void {
    const body: ClusterUpdate = { ...this.options.getCluster(), entries: this.entryCount };
    notifyAll(subscribers, METHODS.cluster, body);
  }

  private isNear({ dataCentre }: Subscriber): boolean {
    return dataCentre === undefined || dataCentre === this.options.dataCentre;
  }

  /** Returns true if a subscriber is to be left to the control process of its data centre. */
  private isServedByOther(subscriber: Subscriber): boolean {
    // A process that starts serves nothing before it has a configuration.
    if (this.isNear(subscriber) || subscriber.version === 0) return false;
    const now = this.options.now();
    const { behindSince = now } = subscriber;
    Object.assign(subscriber, { behindSince });
    return now - behindSince < REMOTE_DELAY_MS;
  }

  /** Gets all upstreams. Only an entry process that has just started gets unconfirmed ones. */
  private getRecordsFor({ kind, version }: Subscription): UpstreamRecord[] {
    const records = this.options.table.getRecords();
    if (kind === 'entry' && version === 0) return records;
    return records.filter((record) => !this.options.isUnconfirmed(record));
  }

  private readonly toAgedAnnouncement = (record: UpstreamRecord): AgedAnnouncement => {
    const { lastSeenAt, ...announcement } = record;
    return { ...announcement, ageMs: Math.max(0, this.options.now() - lastSeenAt) };
  };

  private getEntrySubscribers(): Subscriber[] {
    return [...this.subscribers].filter(({ kind }) => kind === 'entry');
  }

  private pushStateTo(subscriber: Subscriber): void {
    if (subscriber.kind !== 'entry' || !this.options.isRecent()) return;
    // Before the configuration, without which an entry process serves no requests.
    this.pushEvacuationsTo(subscriber);
    this.pushConfigurationTo(subscriber);
  }

  private pushEvacuationsTo(subscriber: Subscriber): void {
    const { evacuation } = this.options.state;
    if (subscriber.evacuationRevision === evacuation.revision) return;
    subscriber.link.notify(METHODS.evacuations, evacuation);
    Object.assign(subscriber, { evacuationRevision: evacuation.revision });
  }

  private pushConfigurationTo(subscriber: Subscriber): void {
    const { current } = this.options.state;
    if (!current || subscriber.version >= current.version || this.isServedByOther(subscriber))
      return;
    if (this.deflated?.version !== current.version)
      this.deflated = { version: current.version, bytes: deflateRawSync(current.document) };
    const { bytes: deflated } = this.deflated;
    subscriber.link.notify(METHODS.configuration, { version: current.version, deflated });
    recordVersion(subscriber, current.version);
  }
}

/** Records that a subscriber has a version of the configuration, or will have it. */
function recordVersion(subscriber: Subscriber, version: number): void {
  if (version > subscriber.version) Object.assign(subscriber, { version, behindSince: undefined });
}

/** Sends a notification to many subscribers; encoding it for each would delay the others. */
function notifyAll(subscribers: Iterable<Subscriber>, method: string, body: unknown): void {
  const bytes = encodeNotification(method, body);
  for (const { link } of subscribers) link.sendEncoded(bytes);
}
