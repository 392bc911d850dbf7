/** Loads a bundled program and stores the code that V8 has compiled until then. */
const { writeFileSync } = require('node:fs');
const { resolve } = require('node:path');

const program = resolve(process.argv[2]);
process.argv = [process.execPath, program, '--help'];
const { script, codeFile } = require(program);

writeFileSync(codeFile, script.createCachedData());
