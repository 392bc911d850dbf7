/**
 * Writes the JSON Schemas and the settings page to the docs folder. The paths are relative to the
 * build output of this file.
 */
import { writeFile } from 'node:fs/promises';
import { getSchemas } from './getSchemas.js';
import { getSettingsPage } from './getSettingsPage.js';

for (const [file, text] of Object.entries(getSchemas())) {
  await writeFile(new URL(`../../../../../docs/schemas/${file}`, import.meta.url), text);
}

const page = new URL('../../../../../docs/SETTINGS.md', import.meta.url);
await writeFile(page, getSettingsPage());
