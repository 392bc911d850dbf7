import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

const product = [
  '@azurecart/protocol',
  '@azurecart/daemon',
  '@azurecart/cli',
  '@azurecart/fakes',
  '@azurecart/bench',
];

/** Forbids imports, so that the layers keep their direction. */
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
      // One task for each connection is written straight down: it waits inside its loop.
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
      // Behaviour that varies is an interface with classes, and some of these need no state.
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
    'Embeddable packages import nothing of the product and no transport.',
  ),
  forbid(
    ['packages/discovery/src/**'],
    ['@azurecart/*', 'node:*'],
    'Discovery is soft state alone.',
  ),
  forbid(
    ['packages/gateway/src/**'],
    ['@azurecart/platform', ...product],
    'The gateway knows neither the platform nor the other products.',
  ),
  forbid(
    ['platform/src/**'],
    ['@azurecart/consensus', '@azurecart/scheduling', '@azurecart/telemetry', ...product],
    'The adapter translates and decides nothing.',
  ),
  forbid(
    ['packages/protocol/src/**'],
    ['@azurecart/*', 'node:http*'],
    'Documents and messages know neither processes nor transports.',
  ),
  forbid(
    ['packages/daemon/src/entry/owner/**'],
    ['**/clients/*', 'node:http*'],
    'Ownership knows neither clients nor transports.',
  ),
  forbid(
    ['packages/daemon/src/control/Control*State.ts', 'packages/daemon/src/control/*Table.ts'],
    ['@connectrpc/*', 'node:*', '**/rpc/*', '**/http/*'],
    'The replicated state imports no adapter.',
  ),
  prettier,
];
