/** Events that a replica reports to the application, for logging and metrics. */
export type ReplicaEvent =
  | { kind: 'role'; role: Role; term: number }
  | { kind: 'members'; index: number; ids: string[] }
  | { kind: 'snapshot'; index: number; bytes: number }
  | { kind: 'fatal'; reason: string };

/** Role of a replica in the current term. */
export type Role = 'follower' | 'candidate' | 'leader';
