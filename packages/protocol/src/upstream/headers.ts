/** Names of the headers of requests from an entry process to an engine. */
export const EngineHeader = {
  request: 'azurecart-request',
  fence: 'azurecart-fence',
  /** Lower numbers are scheduled first. */
  priority: 'azurecart-priority',
  /** Number of tokens of memory reserved for the request on this engine. */
  tokens: 'azurecart-tokens',
  /** Number of output tokens already generated; the stream resumes after them. */
  offset: 'azurecart-offset',
  /** Comma-separated addresses of the other engines that reserve memory for the prompt. */
  peers: 'azurecart-peers',
  maxTokens: 'azurecart-max-tokens',
} as const;

/** Paths of the upstream protocol. */
export const UpstreamPath = {
  announce: '/upstream/v1/announce',
  leave: '/upstream/v1/leave',
  cacheEvents: '/upstream/v1/cache-events',
  commands: '/azurecart/v1/commands',
  state: '/azurecart/v1/state',
} as const;
