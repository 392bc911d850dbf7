/** Names of the headers between an entry process and an engine. */
export const EngineHeader = {
  request: 'azurecart-request',
  fence: 'azurecart-fence',
  /** Lower numbers run first. */
  priority: 'azurecart-priority',
  /** Memory reserved for the request on this engine, in tokens. */
  tokens: 'azurecart-tokens',
  /** Answer tokens already produced; the stream goes on from there. */
  offset: 'azurecart-offset',
  /** Addresses of the engines that hold further memory for the prompt. */
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
