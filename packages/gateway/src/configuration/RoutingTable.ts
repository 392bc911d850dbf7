import type { Configuration, Customer, Route, Service } from './Configuration.js';

/** A configuration indexed for lookups by request. */
export class RoutingTable {
  private readonly routesByHost = new Map<string, Route[]>();

  private readonly services: Map<string, Service>;

  private readonly customersByKey = new Map<string, Customer>();

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    }
    for (const routes of this.routesByHost.values())
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    for (const customer of configuration.customers ?? []) {
      customer.keys.forEach((key) => this.customersByKey.set(key, customer));
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  /** True when requests of routes that are not public need a key. */
  get needsKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  /** Gets the route with the longest prefix that begins the path. */
  getRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ''));
    return routes?.find((route) => path.startsWith(route.pathPrefix));
  }

  getCustomer(key: string): Customer | undefined {
    return this.customersByKey.get(key);
  }

  getService(name: string): Service | undefined {
    return this.services.get(name);
  }
}
