import type { StatusResponse } from '@azurecart/protocol';
import { getStatus, withControlClient } from '../control/withControlClient.js';
import type { ControlOptions } from '../control/withControlClient.js';
import { formatTable, printResult } from '../output/printResult.js';
import type { PrintOptions } from '../output/printResult.js';

/** Shows control members, VM sessions, shard owners and the latest accepted release. */
export async function showStatus(options: ControlOptions & PrintOptions): Promise<void> {
  await withControlClient(options, async (client) => {
    const status = await getStatus(client);
    const { $typeName, releaseText, ...shown } = status;
    printResult(shown, formatStatus(status), options);
  });
}

function formatStatus(status: StatusResponse): string[] {
  const { release } = status;
  const inForce = release?.inForceEverywhere
    ? 'in force everywhere'
    : 'not yet in force everywhere';
  return [
    `leader ${status.leader}, term ${status.term}, commit ${status.commitIndex}`,
    release
      ? `release ${release.number} by ${release.operator}, ${inForce}`
      : 'no release was accepted yet',
    formatTable(
      ['control member', 'id', 'address', 'voter', 'match index'],
      status.members.map((member) => [
        member.name,
        member.id,
        member.address,
        member.voter ? 'yes' : 'catching up',
        String(member.matchIndex),
      ]),
    ),
    formatTable(
      ['vm', 'data centre', 'address', 'state', 'release'],
      status.sessions.map((session) => [
        session.vm,
        session.dataCentre,
        session.address,
        describeState(session),
        String(session.appliedRelease),
      ]),
    ),
    // The id of a session is `<vm>#<suffix>`.
    formatTable(
      ['shard', 'owner', 'fence'],
      status.owners.map((owner) => [
        owner.shard,
        owner.session.split('#')[0] ?? '',
        String(owner.fence),
      ]),
    ),
  ];
}

function describeState({ live, draining }: { live: boolean; draining: boolean }): string {
  if (draining) return 'draining';
  return live ? 'live' : 'expired';
}
