import type { GatewaySettings } from './GatewaySettings.js';

/** Gets the link address of each seed; all VMs use the same port for links. */
export function getSeedLinkAddresses({ seeds, linkPort }: GatewaySettings): string[] {
  return seeds.map((seed) => `${seed.split(':')[0]}:${linkPort}`);
}
