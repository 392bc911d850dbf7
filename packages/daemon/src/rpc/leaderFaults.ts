import { Code, ConnectError } from '@connectrpc/connect';
import { NotLeader, OutcomeUnknown } from '@azurecart/consensus';

const LEADER_HEADER = 'azurecart-leader';

/** Turns the errors of the replicated log into those of a call. */
export function toConnectError(error: unknown): ConnectError {
  if (error instanceof ConnectError) return error;
  if (error instanceof NotLeader) {
    const headers = { [LEADER_HEADER]: error.leaderAddress ?? '' };
    return new ConnectError(error.message, Code.FailedPrecondition, headers);
  }
  if (error instanceof OutcomeUnknown) return new ConnectError(error.message, Code.Unavailable);
  return ConnectError.from(error, Code.Internal);
}

/** Gets the leader's address out of a call's error; undefined when it is another error. */
export function getLeaderHint(error: unknown): string | undefined {
  if (!(error instanceof ConnectError) || error.code !== Code.FailedPrecondition) return undefined;
  return error.metadata.get(LEADER_HEADER) ?? undefined;
}
