/** HTTP server for requests of clients and messages of upstreams. */
export * from './UpstreamMessageRouter.js';
export * from './Authenticator.js';
export * from './BodyBudget.js';
export * from './ClientServer.js';
export * from './CompletionHandler.js';
export * from './PromptInspector.js';
export * from './ServiceHandler.js';
export * from './ShardChooser.js';
