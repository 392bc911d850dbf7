import type { GatewaySettings } from './GatewaySettings.js';

/** Gets the `host:port` of each seed for links; all VMs use the same port for them. */
export function getSeedLinks({ seeds, linkPort }: GatewaySettings): string[] {
  return seeds.map((seed) => `${seed.split(':')[0]}:${linkPort}`);
}
