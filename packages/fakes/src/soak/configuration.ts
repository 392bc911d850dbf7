/** Kinds of requests that the clients of a soak send. */
export type RequestKind = 'chat' | 'once' | 'read' | 'book';

/** A route of the soak, and how its requests may be treated. */
export interface SoakRoute {
  kind: RequestKind;
  type: 'streaming' | 'idempotent' | 'non_idempotent';
  service: string;
  timeoutMs: number;
  /** Time that clients wait, in milliseconds. */
  deadlineMs: number;
  maxAttempts: number;
  isResumable: boolean;
}

export const HOST = 'soak.example';
export const SERVICES = { models: 'models', orders: 'orders', spare: 'spare' } as const;
/** Number of successive versions that contain the marker route of a version. */
export const MARKER_VERSIONS = 10;
export const CUSTOMERS = [
  { name: 'first', key: 'key-first' },
  { name: 'second', key: 'key-second' },
] as const;
export const ROUTES: Record<RequestKind, SoakRoute> = {
  chat: createRoute('chat', 'streaming', 12_000, true),
  once: createRoute('once', 'streaming', 12_000, false),
  read: createRoute('read', 'idempotent', 3000, false),
  book: createRoute('book', 'non_idempotent', 3000, false),
};
export const ENGINE_PROFILE = {
  stepMs: 1.31,
  stepMsPerSequence: 0.00133,
  stepMsPerThousandContextTokens: 0.00213,
  prefillTokensPerSecond: 154_000,
  attentionMsPerMillionPairs: 0.162,
  stepsPerPass: 34,
  kvCacheTokens: 400_000,
};
export const ENGINE_CAPACITY = 11;
/** Time for which a runner that comes back stays cold, and what it bears meanwhile. */
export const COLD_SECONDS = 3;
export const COLD_PER_SECOND = 3;
const COLD_START = { ColdStartS: COLD_SECONDS, ColdPerS: COLD_PER_SECOND };

/** True if a request may run more than once. */
export function isRepeatable({ type, isResumable }: SoakRoute): boolean {
  return type === 'idempotent' || isResumable;
}

/** Gets the path of the route that shows whether a version is in force. */
export function getMarkerPath(version: number): string {
  return `/m${version}/`;
}

/** Gets the service of a marker route, which is the same in all versions that contain it. */
export function getMarkerService(version: number): string {
  return version % 2 === 0 ? SERVICES.orders : SERVICES.spare;
}

/** Creates the configuration document of a version; `extraPath` adds a route to it. */
export function createDocument(
  version: number,
  extraPath?: string,
  service: string = SERVICES.orders,
) {
  const routes = Object.values(ROUTES).map((route) => ({
    Name: route.kind,
    Hostname: HOST,
    PathPrefix: `/${route.kind}/`,
    Type: route.type,
    TimeoutMs: route.timeoutMs,
    TargetLatencyMs: route.type === 'streaming' ? 1000 : 200,
    TargetItlMs: route.type === 'streaming' ? 250 : 0,
    MaxAttempts: route.maxAttempts,
    Resumable: route.isResumable,
    Service: route.service,
  }));
  const markers = Array.from({ length: MARKER_VERSIONS }, (_, index) => version - index)
    .filter((each) => each > 0)
    .map((each) => createMarker(getMarkerPath(each), getMarkerService(each)));
  return {
    Version: version,
    Routes: [...routes, ...markers, ...(extraPath ? [createMarker(extraPath, service)] : [])],
    Services: [
      { Name: SERVICES.models, MaxConnections: 300, ...COLD_START, Engine: createEngine() },
      { Name: SERVICES.orders, MaxConnections: 300, ...COLD_START },
      { Name: SERVICES.spare, MaxConnections: 300, ...COLD_START },
    ],
    Limits: {
      MaxHeaderBytes: 16_384,
      MaxBodyBytes: 65_536,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15_000,
    },
    Tenants: CUSTOMERS.map(({ name, key }) => ({ Name: name, ApiKeys: [key] })),
  };
}

function createRoute(
  kind: RequestKind,
  type: SoakRoute['type'],
  timeoutMs: number,
  isResumable: boolean,
): SoakRoute {
  const service = type === 'streaming' ? SERVICES.models : SERVICES.orders;
  const deadlineMs = timeoutMs + 1500;
  return { kind, type, service, timeoutMs, deadlineMs, maxAttempts: 3, isResumable };
}

function createMarker(path: string, service: string) {
  return {
    Name: path,
    Hostname: HOST,
    PathPrefix: path,
    Type: 'idempotent',
    TimeoutMs: 3000,
    TargetLatencyMs: 200,
    MaxAttempts: 3,
    Service: service,
  };
}

function createEngine() {
  return {
    Capacity: ENGINE_CAPACITY,
    KvCapacity: ENGINE_PROFILE.kvCacheTokens,
    Stride: ENGINE_PROFILE.stepsPerPass,
    step_ms: ENGINE_PROFILE.stepMs,
    per_seq_ms: ENGINE_PROFILE.stepMsPerSequence,
    context_per_k: ENGINE_PROFILE.stepMsPerThousandContextTokens,
    read_per_s: ENGINE_PROFILE.prefillTokensPerSecond,
    pairs_per_m: ENGINE_PROFILE.attentionMsPerMillionPairs,
    chunk: 2048,
  };
}
