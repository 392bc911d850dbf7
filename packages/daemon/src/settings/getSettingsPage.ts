import { z } from 'zod';
import { controlSettingsSchema, entrySettingsSchema } from './settingsSchema.js';

interface Node {
  type?: string;
  enum?: string[];
  const?: string;
  default?: unknown;
  description?: string;
  properties?: Record<string, Node>;
  required?: string[];
  items?: Node;
}

const INTRODUCTION = `# Settings

Each process has one JSON file. Unknown fields are refused, and an error names the path of the
field, what was expected and what was found. \`azurecartd --settings FILE --check\` checks a file
without starting anything. The JSON Schemas for editors are in \`docs/schemas\`. This page is made
from the schemas by \`npm run schema\`. Names that end in Ms are milliseconds, in Bytes bytes.
`;

/** Gets the page that lists every setting with its meaning and default. */
export function getSettingsPage(): string {
  const sections = [
    ['Entry process', entrySettingsSchema],
    ['Control process', controlSettingsSchema],
  ] as const;
  const texts = sections.map(([title, schema]) => {
    const root = z.toJSONSchema(schema, { io: 'input' }) as Node;
    const rows = getRows(root, '');
    return `\n## ${title}\n\n| field | type | default | meaning |\n| --- | --- | --- | --- |\n${rows.join('\n')}\n`;
  });
  return INTRODUCTION + texts.join('');
}

function getRows(node: Node, prefix: string): string[] {
  const required = new Set(node.required);
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const path = prefix + name;
    const fallback = required.has(name) ? 'required' : JSON.stringify(child.default ?? 'none');
    const row = `| ${path} | ${getType(child)} | ${fallback} | ${child.description ?? ''} |`;
    const inner = child.items ?? child;
    const innerPrefix = child.items ? `${path}[].` : `${path}.`;
    return inner.properties ? [row, ...getRows(inner, innerPrefix)] : [row];
  });
}

function getType(node: Node): string {
  if (node.const !== undefined) return `"${node.const}"`;
  return node.enum ? node.enum.join(', ') : (node.type ?? 'any');
}
