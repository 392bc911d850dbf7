import type { Logger } from '@azurecart/telemetry';
import { Mesh } from '../control/Mesh.js';
import { METHODS } from '../control/messages.js';
import type {
  ClusterNotice,
  ConfigurationNotice,
  Subscription,
  UpstreamNotice,
} from '../control/messages.js';
import type { CallHandler, Link } from '../links/index.js';
import { getSeedLinks } from '../settings/index.js';
import type { EntrySettings } from '../settings/index.js';
import type { View } from './View.js';

/** What the links to control need. */
export interface ControlLinksOptions {
  settings: EntrySettings;
  view: View;
  logger: Logger;
}

const SUBSCRIBE_TIMEOUT_MS = 1000;

/** Follows every control process that is known; one of them is enough to stay up to date. */
export class ControlLinks {
  readonly mesh: Mesh;

  private seeds: string[];

  constructor(private readonly options: ControlLinksOptions) {
    const { settings, view } = options;
    this.seeds = getSeedLinks(settings);
    const handlers = new Map<string, CallHandler>([
      [METHODS.upstreams, (body) => view.mergeUpstreams(body as UpstreamNotice)],
    ]);
    this.mesh = new Mesh({
      self: `${settings.host}:${settings.linkPort}`,
      handlers,
      onOpen: (link) => this.follow(link),
    });
  }

  start(): void {
    this.mesh.retain(this.seeds);
  }

  stop(): void {
    this.mesh.stop();
  }

  /** Adopts other seeds. */
  reload(settings: EntrySettings): void {
    this.seeds = getSeedLinks(settings);
    this.retain();
  }

  private follow(link: Link): void {
    const { view, settings } = this.options;
    link.received.subscribe(({ method, body }) => this.take(method, body));
    const subscription: Subscription = { kind: 'entry', vm: settings.vm, version: view.version };
    link.call(METHODS.subscribe, subscription, SUBSCRIBE_TIMEOUT_MS).catch(() => link.close());
  }

  private take(method: string, body: unknown): void {
    const { view, logger } = this.options;
    try {
      if (method === METHODS.upstreams) view.mergeUpstreams(body as UpstreamNotice);
      else if (method === METHODS.configuration)
        view.adoptConfiguration(body as ConfigurationNotice);
      else if (method === METHODS.cluster) this.adoptCluster(body as ClusterNotice);
    } catch (error) {
      logger.error({ err: error, method }, 'notice not understood');
    }
  }

  private adoptCluster(notice: ClusterNotice): void {
    this.options.view.adoptCluster(notice);
    this.retain();
  }

  private retain(): void {
    const { members } = this.options.view.cluster.value;
    this.mesh.retain([...this.seeds, ...members]);
  }
}
