import { inflateRawSync } from 'node:zlib';
import { BehaviorSubject, Subject } from 'rxjs';
import { UpstreamTable } from '@azurecart/discovery';
import type { UpstreamRecord } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { Findings } from '../findings/index.js';
import { UpstreamLimits } from '../limits/index.js';
import { RoutingTable } from '../configuration/index.js';
import type { ConfigurationCodec } from '../configuration/index.js';
import type { EvacuationUpdate } from '../control/Evacuations.js';
import type { ClusterUpdate, ConfigurationUpdate, UpstreamUpdate } from '../control/messages.js';

export interface ClusterViewOptions {
  codec: ConfigurationCodec;
  logger: Logger;
}

/**
 * An entry process's local view of the configuration, the upstreams and the control members. Its
 * configuration is replaced only by newer versions. It stays in use while no control process can be
 * reached.
 */
export class ClusterView {
  readonly upstreamTable = new UpstreamTable({ now: () => performance.now() });

  readonly findings: Findings;

  readonly limits: UpstreamLimits;

  routing: RoutingTable | undefined;

  /** The evacuated data centres; undefined until a control process has named them. */
  evacuation: EvacuationUpdate | undefined;

  private readonly activationSubject = new Subject<number>();

  /** Emits the version of each configuration that is activated. */
  readonly activations = this.activationSubject.asObservable();

  private readonly departureSubject = new Subject<UpstreamRecord>();

  /** Departures that this process learned from upstreams, which are to be told to others. */
  readonly departures = this.departureSubject.asObservable();

  readonly cluster = new BehaviorSubject<ClusterUpdate>({
    members: [],
    leader: null,
    term: 0,
    entries: 1,
  });

  constructor(private readonly options: ClusterViewOptions) {
    this.findings = new Findings({ now: () => performance.now(), logger: options.logger });
    this.limits = new UpstreamLimits({
      table: this.upstreamTable,
      findings: this.findings,
      getService: (name) => this.routing?.getService(name),
      logger: options.logger,
    });
  }

  get version(): number {
    return this.routing?.version ?? 0;
  }

  /**
   * Activates a configuration unless its version is the current one or an older one.
   * @throws InvalidConfigurationError or an error of zlib if the document cannot be decoded.
   */
  updateConfiguration(update: ConfigurationUpdate): void {
    if (update.version <= this.version && this.routing) return;
    const document = inflateRawSync(update.deflated);
    this.routing = new RoutingTable(this.options.codec.decode(document));
    this.options.logger.info({ version: this.version }, 'configuration activated');
    this.activationSubject.next(this.version);
  }

  /** Heeds the evacuated data centres unless an update of the same or a higher revision came first. */
  updateEvacuations(update: EvacuationUpdate): void {
    if (this.evacuation && update.revision <= this.evacuation.revision) return;
    this.evacuation = update;
    this.upstreamTable.setEvacuated(update.dataCentres);
    const { revision, dataCentres } = update;
    if (revision > 0)
      this.options.logger.info({ revision, dataCentres }, 'evacuated data centres changed');
  }

  /**
   * Replaces members and leader by those of an update of a later term, or of the current term if the
   * update names a leader. Other updates, such as one of the current term from a control process
   * that knows no leader, only update the number of entry processes. While no member is known, any
   * update is applied completely.
   */
  updateCluster(update: ClusterUpdate): void {
    const current = this.cluster.value;
    const shouldReplace =
      update.term > current.term || (update.term === current.term && update.leader);
    if (shouldReplace || current.members.length === 0) this.cluster.next(update);
    else this.cluster.next({ ...current, entries: update.entries });
  }

  /**
   * Records that an upstream has said that it leaves.
   * @returns False if that is known, or if the upstream has started again since.
   */
  recordDeparture({ id, bornAt }: UpstreamRecord): boolean {
    const record = this.upstreamTable.markDraining(id, bornAt);
    if (record) this.departureSubject.next(record);
    return record !== undefined;
  }

  mergeUpstreams({ records }: UpstreamUpdate): void {
    records.forEach(({ ageMs, ...announcement }) => this.upstreamTable.merge(announcement, ageMs));
  }
}
