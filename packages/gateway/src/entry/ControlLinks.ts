import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { LinkPool } from '../control/LinkPool.js';
import type { EvacuationUpdate } from '../control/Evacuations.js';
import { METHODS } from '../control/messages.js';
import type {
  AppliedConfiguration,
  ClusterUpdate,
  ConfigurationUpdate,
  Subscription,
  UpstreamUpdate,
} from '../control/messages.js';
import type { FindingsUpdate } from '../findings/index.js';
import type { CallHandler, Link } from '../links/index.js';
import { getSeedLinkAddresses } from '../settings/index.js';
import type { EntrySettings } from '../settings/index.js';
import type { ClusterView } from './ClusterView.js';

export interface ControlLinksOptions {
  settings: EntrySettings;
  view: ClusterView;
  logger: Logger;
}

const SUBSCRIBE_TIMEOUT_MS = 1000;
const DEPARTURE_TIMEOUT_MS = 1000;

/** Subscribes to every known control process; one of them suffices to stay up to date. */
export class ControlLinks {
  readonly linkPool: LinkPool;

  private seeds: string[];

  constructor(private readonly options: ControlLinksOptions) {
    const { settings, view } = options;
    this.seeds = getSeedLinkAddresses(settings);
    // Control processes send upstreams as a call if they wait for the confirmation.
    const handlers = new Map<string, CallHandler>([
      [METHODS.upstreams, (body) => view.mergeUpstreams(body as UpstreamUpdate)],
    ]);
    this.linkPool = new LinkPool({
      ownAddress: `${settings.host}:${settings.linkPort}`,
      handlers,
      onOpen: (link) => this.subscribe(link),
    });
  }

  start(): void {
    this.options.view.findings.changes.subscribe((update) => this.sendFindings(update));
    this.options.view.departures.subscribe((record) => this.sendDeparture(record));
    this.linkPool.retain(this.seeds);
  }

  stop(): void {
    this.linkPool.stop();
  }

  /** Applies changed seed addresses. */
  reload(settings: EntrySettings): void {
    this.seeds = getSeedLinkAddresses(settings);
    this.updateLinks();
  }

  private subscribe(link: Link): void {
    const { view, settings } = this.options;
    link.subscribe(({ method, body }) => this.handleNotification(method, body));
    const { vm, dataCentre } = settings;
    const subscription: Subscription = { kind: 'entry', vm, version: view.version, dataCentre };
    // After a failure the link is closed; the pool reconnects, which subscribes again.
    link.call(METHODS.subscribe, subscription, SUBSCRIBE_TIMEOUT_MS).catch(() => link.close());
    // The control process may have restarted, or was cut off from others that know them.
    link.notify(METHODS.findings, view.findings.getAll());
  }

  private sendFindings(update: FindingsUpdate): void {
    for (const address of this.linkPool.getAddresses())
      this.linkPool.getLink(address).current?.notify(METHODS.findings, update);
  }

  /** Tells control processes of a departure, which tell all others as if it had been announced. */
  private sendDeparture({ lastSeenAt, ...announcement }: UpstreamRecord): void {
    const ageMs = Math.max(0, performance.now() - lastSeenAt);
    const update: UpstreamUpdate = { records: [{ ...announcement, ageMs }] };
    for (const address of this.linkPool.getAddresses())
      this.linkPool
        .getLink(address)
        .current?.call(METHODS.upstreams, update, DEPARTURE_TIMEOUT_MS)
        .catch((error: unknown) =>
          this.options.logger.info({ err: error, address }, 'departure of an upstream not told'),
        );
  }

  private handleNotification(method: string, body: unknown): void {
    const { view, logger } = this.options;
    try {
      if (method === METHODS.upstreams) view.mergeUpstreams(body as UpstreamUpdate);
      else if (method === METHODS.configuration)
        this.updateConfiguration(body as ConfigurationUpdate);
      else if (method === METHODS.evacuations) view.updateEvacuations(body as EvacuationUpdate);
      else if (method === METHODS.findings) view.findings.merge(body as FindingsUpdate);
      else if (method === METHODS.cluster) this.updateCluster(body as ClusterUpdate);
    } catch (error) {
      logger.error({ err: error, method }, 'control notification failed, update ignored');
    }
  }

  /** Activates a configuration and tells all control processes, so that they need not send it. */
  private updateConfiguration(update: ConfigurationUpdate): void {
    const { view } = this.options;
    const { version } = view;
    view.updateConfiguration(update);
    if (view.version === version) return;
    const applied: AppliedConfiguration = { version: view.version };
    for (const address of this.linkPool.getAddresses())
      this.linkPool.getLink(address).current?.notify(METHODS.applied, applied);
  }

  private updateCluster(update: ClusterUpdate): void {
    this.options.view.updateCluster(update);
    this.updateLinks();
  }

  private updateLinks(): void {
    const { members } = this.options.view.cluster.value;
    this.linkPool.retain([...this.seeds, ...members]);
  }
}
