import { z } from 'zod';
import { gatewaySettingsSchema } from '@azurecart/gateway';
import { releaseSchema } from '@azurecart/protocol';
import { controlSettingsSchema, entrySettingsSchema } from './settingsSchema.js';

/** Gets the JSON Schemas for use in editors, by file name. */
export function getSchemas(): Record<string, string> {
  const schemas = {
    'entry-settings.schema.json': entrySettingsSchema,
    'control-settings.schema.json': controlSettingsSchema,
    'gateway-settings.schema.json': gatewaySettingsSchema,
    'release.schema.json': releaseSchema,
  };
  const entries = Object.entries(schemas).map(([file, schema]) => {
    const json = z.toJSONSchema(schema, { io: 'input' });
    return [file, `${JSON.stringify(json, null, 2)}\n`];
  });
  return Object.fromEntries(entries) as Record<string, string>;
}
