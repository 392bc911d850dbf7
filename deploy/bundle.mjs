/**
 * Bundles the gateway's program into one file, which loads faster than its many modules, and stores
 * the code that V8 compiles from it.
 */
import { execFileSync } from 'node:child_process';
import { copyFileSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

const [target = 'target'] = process.argv.slice(2);
/** V8 uses stored code only with the flags that it was stored with: those of `system.toml`. */
const FLAGS = ['--max-old-space-size=160'];

/** Parts of libraries that the gateway never calls. Without them, processes start sooner. */
const unusedModules = {
  name: 'unused-modules',
  setup({ onLoad, onResolve }) {
    // Optional dependencies of the log library, which goes on without those that fail to load.
    onResolve({ filter: /^(dtrace-provider|mv|safe-json-stringify|moment)$/ }, ({ path }) => ({
      path,
      namespace: 'omitted',
    }));
    onLoad({ filter: /.*/, namespace: 'omitted' }, ({ path }) => ({
      contents: `throw new Error('${path} is not bundled');`,
    }));
    onLoad({ filter: /\/prom-client\/lib\/(pushgateway|cluster|defaultMetrics)\.js$/ }, () => ({
      contents: 'module.exports = {};',
    }));
    // Messages in languages other than English.
    onLoad({ filter: /\/zod\/v4\/locales\/index\.js$/ }, () => ({ contents: 'export {};' }));
  },
};

await build({
  entryPoints: ['packages/daemon/dist/src/gateway/program.js'],
  outfile: join(target, 'gateway', 'program.js'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  // Unlike the CommonJS modules that Node.js gets, these are left out if they are not used.
  alias: { rxjs: './node_modules/rxjs/dist/esm/index.js' },
  plugins: [unusedModules],
  logLevel: 'warning',
});
const program = join(target, 'azurecart-gateway.cjs');
copyFileSync('deploy/start.cjs', program);
execFileSync(process.execPath, [...FLAGS, 'deploy/storeCode.cjs', program], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
