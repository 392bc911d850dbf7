/** Bundles the gateway's program into one file, which loads faster than its many modules. */
import { build } from 'esbuild';

await build({
  entryPoints: ['packages/daemon/dist/src/gateway/main.js'],
  outfile: 'target/azurecart-gateway.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  // Optional parts of the log library that are not installed.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'moment'],
  logLevel: 'warning',
});
