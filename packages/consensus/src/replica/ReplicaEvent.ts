/** What a replica tells its host, for logs and metrics. */
export type ReplicaEvent =
  | { kind: 'role'; role: Role; term: number }
  | { kind: 'members'; index: number; ids: string[] }
  | { kind: 'snapshot'; index: number; bytes: number }
  | { kind: 'fatal'; reason: string };

/** Part that a replica plays in its term. */
export type Role = 'follower' | 'candidate' | 'leader';
