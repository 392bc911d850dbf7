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
import type { ClusterView } from './ClusterView.js';

export interface ControlLinksOptions {
  settings: EntrySettings;
  view: ClusterView;
  logger: Logger;
}

const SUBSCRIBE_TIMEOUT_MS = 1000;

/** Subscribes to every known control process; one of them suffices to stay up to date. */
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
      onOpen: (link) => this.subscribe(link),
    });
  }

  start(): void {
    this.mesh.retain(this.seeds);
  }

  stop(): void {
    this.mesh.stop();
  }

  /** Applies changed seed addresses. */
  reload(settings: EntrySettings): void {
    this.seeds = getSeedLinks(settings);
    this.updateMesh();
  }

  private subscribe(link: Link): void {
    const { view, settings } = this.options;
    link.received.subscribe(({ method, body }) => this.handleNotice(method, body));
    const subscription: Subscription = { kind: 'entry', vm: settings.vm, version: view.version };
    link.call(METHODS.subscribe, subscription, SUBSCRIBE_TIMEOUT_MS).catch(() => link.close());
  }

  private handleNotice(method: string, body: unknown): void {
    const { view, logger } = this.options;
    try {
      if (method === METHODS.upstreams) view.mergeUpstreams(body as UpstreamNotice);
      else if (method === METHODS.configuration)
        view.updateConfiguration(body as ConfigurationNotice);
      else if (method === METHODS.cluster) this.updateCluster(body as ClusterNotice);
    } catch (error) {
      logger.error({ err: error, method }, 'cannot process notice');
    }
  }

  private updateCluster(notice: ClusterNotice): void {
    this.options.view.updateCluster(notice);
    this.updateMesh();
  }

  private updateMesh(): void {
    const { members } = this.options.view.cluster.value;
    this.mesh.retain([...this.seeds, ...members]);
  }
}
