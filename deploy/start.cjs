/**
 * Runs the bundled program with the code that V8 stored at the build. What V8 rejects, as another
 * version of it does, is compiled as usual.
 */
// Reports changed settings, and must not end a process that still starts.
process.on('SIGHUP', () => undefined);

const { readFileSync } = require('node:fs');
const { join } = require('node:path');
const { Script } = require('node:vm');

const filename = join(__dirname, 'gateway', 'program.js');
const codeFile = `${filename}.code`;

function readStoredCode() {
  try {
    return readFileSync(codeFile);
  } catch {
    return undefined;
  }
}

// The bundler escapes all characters beyond ASCII.
const source = readFileSync(filename, 'latin1');
const script = new Script(`(function (require, module, exports) {${source}\n})`, {
  filename,
  cachedData: readStoredCode(),
});
if (script.cachedDataRejected)
  process.stderr.write('azurecart-gateway: stored code rejected, the start takes longer\n');
script.runInThisContext()(require, module, exports);

module.exports = { script, codeFile };
