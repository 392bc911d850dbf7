import { Code, ConnectError } from '@connectrpc/connect';
import { NotLeaderError, OutcomeUnknownError } from '@azurecart/consensus';

const LEADER_HEADER = 'azurecart-leader';

/** Converts an error of the replicated log to an RPC error. */
export function toConnectError(error: unknown): ConnectError {
  if (error instanceof ConnectError) return error;
  if (error instanceof NotLeaderError) {
    const headers = { [LEADER_HEADER]: error.leaderAddress ?? '' };
    return new ConnectError(error.message, Code.FailedPrecondition, headers);
  }
  if (error instanceof OutcomeUnknownError)
    return new ConnectError(error.message, Code.Unavailable);
  return ConnectError.from(error, Code.Internal);
}

/**
 * Gets the leader's address from an RPC error, empty when no leader is known.
 * @returns Undefined unless a process that is not the leader raised the error.
 */
export function getLeaderHint(error: unknown): string | undefined {
  if (!(error instanceof ConnectError) || error.code !== Code.FailedPrecondition) return undefined;
  return error.metadata.get(LEADER_HEADER) ?? undefined;
}
