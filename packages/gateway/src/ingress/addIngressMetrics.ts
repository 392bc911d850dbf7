import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';
import type { Ingress } from '@azurecart/ingress';

/** Adds metrics of the ingress of each server; the label `server` is its name. */
export function addIngressMetrics(registry: Registry, ingresses: Record<string, Ingress>): void {
  const registers = [registry];
  const entries = Object.entries(ingresses);
  const connections: Gauge = new Gauge({
    name: 'azurecart_gateway_client_connections',
    help: 'Connections of clients by state; `held` ones are not read for a while',
    labelNames: ['server', 'state'],
    registers,
    collect: () =>
      entries.forEach(([server, { table }]) => {
        const { connectionCount, idleCount, silentCount, heldCount } = table;
        connections.set({ server, state: 'open' }, connectionCount);
        connections.set({ server, state: 'idle' }, idleCount);
        connections.set({ server, state: 'silent' }, silentCount);
        connections.set({ server, state: 'held' }, heldCount);
      }),
  });
  const ahead: Gauge = new Gauge({
    name: 'azurecart_gateway_requests_ahead',
    help: 'Requests that wait behind others on their connections',
    labelNames: ['server'],
    registers,
    collect: () =>
      entries.forEach(([server, { table }]) => ahead.set({ server }, table.aheadCount)),
  });
  const descriptors: Gauge = new Gauge({
    name: 'azurecart_gateway_client_descriptors',
    help: 'Descriptors of clients, and those in use or set aside for their requests',
    labelNames: ['server'],
    registers,
    collect: () =>
      entries.forEach(([server, { table }]) => descriptors.set({ server }, table.descriptorCount)),
  });
  const limited: Counter = new Counter({
    name: 'azurecart_gateway_connections_limited_total',
    help: 'Connections refused or closed by limits, by reason',
    labelNames: ['server', 'action', 'reason'],
    registers,
    collect: () => {
      limited.reset();
      entries.forEach(([server, { statistics }]) =>
        Object.entries(statistics.totals).forEach(([action, counts]) =>
          Object.entries<number>(counts).forEach(([reason, count]) =>
            limited.inc({ server, action, reason }, count),
          ),
        ),
      );
    },
  });
}
