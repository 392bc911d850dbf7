import type { Configuration, Route } from './Configuration.js';
import { InvalidConfigurationError } from './InvalidConfigurationError.js';

/**
 * Checks that a configuration is consistent.
 * @throws InvalidConfigurationError describing the first inconsistency.
 */
export function checkConfiguration(configuration: Configuration): void {
  const services = new Set(configuration.services.map((service) => service.name));
  const hostPrefixes = new Set<string>();
  for (const route of configuration.routes) {
    checkRoute(route, services);
    const hostPrefix = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    if (hostPrefixes.has(hostPrefix)) fail(`route ${route.name}: another route has ${hostPrefix}`);
    hostPrefixes.add(hostPrefix);
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
  const customerNamesByKey = new Map<string, string>();
  for (const customer of configuration.customers ?? []) {
    for (const key of customer.keys) {
      const otherName = customerNamesByKey.get(key);
      if (otherName !== undefined && otherName !== customer.name)
        fail(`customers ${otherName} and ${customer.name} share a key`);
      customerNamesByKey.set(key, customer.name);
    }
  }
}

function fail(reason: string): never {
  throw new InvalidConfigurationError(reason);
}
