import { z } from 'zod';
import {
  controlSettingsSchema as gatewayControlSchema,
  entrySettingsSchema as gatewayEntrySchema,
} from '@azurecart/gateway';
import { controlSettingsSchema, entrySettingsSchema } from './settingsSchema.js';

/** The parts of a JSON Schema that the page shows. */
interface SchemaNode {
  type?: string;
  enum?: string[];
  const?: string;
  default?: unknown;
  description?: string;
  properties?: Record<string, SchemaNode>;
  required?: string[];
  items?: SchemaNode;
}

const PAGE_HEADER = `# Settings

Each process has one JSON file. Unknown fields are refused, and an error names the path of the
field, what was expected and what was found. \`azurecartd --settings FILE --check\` checks a file
without starting anything. The JSON Schemas for editors are in \`docs/schemas\`. This page is made
from the schemas by \`npm run schema\`. Names that end in Ms are milliseconds, in Bytes bytes.
The gateway's processes are checked by \`azurecart-gateway --settings FILE --check\`; they ignore
unknown fields, because the platform may add some.
`;

/** Gets the Markdown page that lists every setting with its type, default and description. */
export function getSettingsPage(): string {
  const sections = [
    ['Entry process', entrySettingsSchema],
    ['Control process', controlSettingsSchema],
    ['Gateway: entry process', gatewayEntrySchema],
    ['Gateway: control process', gatewayControlSchema],
  ] as const;
  const texts = sections.map(([title, schema]) => {
    const root = z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
    const rows = getRows(root, '');
    return `\n## ${title}\n\n| field | type | default | meaning |\n| --- | --- | --- | --- |\n${rows.join('\n')}\n`;
  });
  return PAGE_HEADER + texts.join('');
}

function getRows(node: SchemaNode, prefix: string): string[] {
  const required = new Set(node.required);
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const path = prefix + name;
    const defaultText = required.has(name) ? 'required' : JSON.stringify(child.default ?? 'none');
    const row = `| ${path} | ${getType(child)} | ${defaultText} | ${child.description ?? ''} |`;
    const nested = child.items ?? child;
    const nestedPrefix = child.items ? `${path}[].` : `${path}.`;
    return nested.properties ? [row, ...getRows(nested, nestedPrefix)] : [row];
  });
}

function getType(node: SchemaNode): string {
  if (node.const !== undefined) return `"${node.const}"`;
  return node.enum ? node.enum.join(', ') : (node.type ?? 'any');
}
