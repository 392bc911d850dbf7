import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Packages of the application itself; the other packages can be used without them. */
const product = [
  '@azurecart/protocol',
  '@azurecart/daemon',
  '@azurecart/cli',
  '@azurecart/fakes',
  '@azurecart/bench',
];

/** Forbids imports, so that dependencies between the layers point one way. */
const forbid = (files, group, message) => ({
  files,
  rules: { 'no-restricted-imports': ['error', { patterns: [{ group, message }] }] },
});

export default [
  { ignores: ['**/dist/**', '**/gen/**', '.data/**'] },
  { name: 'js', ...js.configs.recommended },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      // Loops await on purpose: each connection is handled by one sequential task.
      'no-await-in-loop': 'off',
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-constant-condition': ['error', { checkLoops: false }],
      // The public method comes first and its local helper functions below it.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': [
        'error',
        { functions: false, classes: true, variables: false },
      ],
      // Modules have named exports only, re-exported by a barrel for each folder.
      'import-x/prefer-default-export': 'off',
      // Strategies are classes that implement an interface, some of them without state.
      'class-methods-use-this': 'off',
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreClassesThatImplementAnInterface: true },
      ],
      // The compiler resolves the `.js` of an import to its `.ts` source.
      'import-x/extensions': 'off',
      '@typescript-eslint/consistent-type-imports': 'error',
    },
  },
  forbid(
    ['packages/consensus/src/**', 'packages/scheduling/src/**', 'packages/telemetry/src/**'],
    [...product, '@connectrpc/*', 'node:http*'],
    'Embeddable packages must not import application packages or transports.',
  ),
  forbid(
    ['packages/discovery/src/**'],
    ['@azurecart/*', 'node:*'],
    'Discovery must not import other packages or Node.js modules: it only holds soft state.',
  ),
  forbid(
    ['packages/ingress/src/**'],
    ['@azurecart/*'],
    'The ingress must not import other packages: it can protect any HTTP server.',
  ),
  forbid(
    ['packages/gateway/src/**'],
    ['@azurecart/platform', ...product],
    'The gateway must not import the platform adapter or application packages.',
  ),
  forbid(
    ['platform/src/**'],
    ['@azurecart/consensus', '@azurecart/scheduling', '@azurecart/telemetry', ...product],
    'The platform adapter only translates: it must not import application packages or those that decide.',
  ),
  forbid(
    ['packages/protocol/src/**'],
    ['@azurecart/*', 'node:http*'],
    'The protocol must not import other packages or transports: it only defines messages.',
  ),
  forbid(
    ['packages/daemon/src/entry/owner/**'],
    ['**/clients/*', 'node:http*'],
    'The shard owner must not import client handlers or transports.',
  ),
  forbid(
    ['packages/daemon/src/control/Control*State.ts', 'packages/daemon/src/control/*Table.ts'],
    ['@connectrpc/*', 'node:*', '**/rpc/*', '**/http/*'],
    'The replicated state must not import RPC, HTTP or Node.js modules.',
  ),
  prettier,
];
