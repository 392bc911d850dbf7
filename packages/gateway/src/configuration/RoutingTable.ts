import type { Configuration, Customer, Route, Service } from './Configuration.js';

/** A configuration indexed for lookups per request. */
export class RoutingTable {
  /** Routes by lower-case host, then by path prefix. */
  private readonly routesByHost = new Map<string, Map<string, Route>>();

  private readonly servicesByName: Map<string, Service>;

  private readonly customersByKey = new Map<string, Customer>();

  constructor(readonly configuration: Configuration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const byPrefix = this.routesByHost.get(host) ?? new Map<string, Route>();
      byPrefix.set(route.pathPrefix, route);
      this.routesByHost.set(host, byPrefix);
    }
    this.servicesByName = new Map(configuration.services.map((service) => [service.name, service]));
    for (const customer of configuration.customers ?? []) {
      customer.keys.forEach((key) => this.customersByKey.set(key, customer));
    }
  }

  get version(): number {
    return this.configuration.version;
  }

  /** True when requests to routes that are not public require an API key. */
  get requiresApiKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  /** Gets the route of the host with the longest prefix that matches the path. */
  getRoute(host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(host.toLowerCase().replace(/:\d+$/, ''));
    if (!routes) return undefined;
    // Every prefix ends with a slash, so only the parts of the path up to a slash can match.
    for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      const route = routes.get(path.slice(0, end + 1));
      if (route || end === 0) return route;
    }
    return undefined;
  }

  getCustomer(key: string): Customer | undefined {
    return this.customersByKey.get(key);
  }

  getService(name: string): Service | undefined {
    return this.servicesByName.get(name);
  }
}
