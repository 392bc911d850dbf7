import type { Configuration, Route } from './Configuration.js';
import { InvalidConfiguration } from './InvalidConfiguration.js';

/**
 * Checks that a configuration does not contradict itself.
 * @throws InvalidConfiguration naming the first contradiction.
 */
export function checkConfiguration(configuration: Configuration): void {
  const services = new Set(configuration.services.map((service) => service.name));
  const places = new Set<string>();
  for (const route of configuration.routes) {
    checkRoute(route, services);
    const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (places.has(place)) fail(`route ${route.name}: another route has ${place}`);
    places.add(place);
  }
  checkKeys(configuration);
}

function checkRoute(route: Route, services: Set<string>): void {
  const unknown = route.backends.find((backend) => !services.has(backend.service));
  if (unknown) fail(`route ${route.name}: unknown service ${unknown.service}`);
  const weight = route.backends.reduce((sum, backend) => sum + backend.weight, 0);
  if (!(weight > 0)) fail(`route ${route.name}: the weights add up to ${weight}`);
  if (!(route.timeoutMs > 0)) fail(`route ${route.name}: timeout ${route.timeoutMs} ms`);
  const isPrefix = route.pathPrefix.startsWith('/') && route.pathPrefix.endsWith('/');
  if (!isPrefix) fail(`route ${route.name}: prefix ${route.pathPrefix} lacks a slash`);
}

function checkKeys(configuration: Configuration): void {
  const owners = new Map<string, string>();
  for (const customer of configuration.customers ?? []) {
    for (const key of customer.keys) {
      const other = owners.get(key);
      if (other !== undefined && other !== customer.name)
        fail(`customers ${other} and ${customer.name} share a key`);
      owners.set(key, customer.name);
    }
  }
}

function fail(reason: string): never {
  throw new InvalidConfiguration(reason);
}
