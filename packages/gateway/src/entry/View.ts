import { inflateRawSync } from 'node:zlib';
import { BehaviorSubject } from 'rxjs';
import { UpstreamTable } from '@azurecart/discovery';
import type { Logger } from '@azurecart/telemetry';
import { RoutingTable } from '../configuration/index.js';
import type { ConfigurationCodec } from '../configuration/index.js';
import type { ClusterNotice, ConfigurationNotice, UpstreamNotice } from '../control/messages.js';

/** What a view needs. */
export interface ViewOptions {
  codec: ConfigurationCodec;
  logger: Logger;
}

/** What an entry process knows. It only moves forward, and outlives every control process. */
export class View {
  readonly table = new UpstreamTable({ now: () => performance.now() });

  routing: RoutingTable | undefined;

  readonly cluster = new BehaviorSubject<ClusterNotice>({
    members: [],
    leader: null,
    term: 0,
    entries: 1,
  });

  constructor(private readonly options: ViewOptions) {}

  get version(): number {
    return this.routing?.version ?? 0;
  }

  /** Adopts a configuration unless it is older than the one held. */
  adoptConfiguration(notice: ConfigurationNotice): void {
    if (notice.version <= this.version && this.routing) return;
    const document = inflateRawSync(notice.deflated);
    this.routing = new RoutingTable(this.options.codec.decode(document));
    this.options.logger.info({ version: this.version }, 'configuration in force');
  }

  /** Adopts who the control processes are; one that knows no leader does not hide a known one. */
  adoptCluster(notice: ClusterNotice): void {
    const known = this.cluster.value;
    const isNewer = notice.term > known.term || (notice.term === known.term && notice.leader);
    if (isNewer || known.members.length === 0) this.cluster.next(notice);
    else this.cluster.next({ ...known, entries: notice.entries });
  }

  mergeUpstreams({ records }: UpstreamNotice): void {
    records.forEach(({ ageMs, ...announcement }) => this.table.merge(announcement, ageMs));
  }
}
