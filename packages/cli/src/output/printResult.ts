import Table from 'cli-table3';

/** Output options. */
export interface PrintOptions {
  json?: boolean;
}

/** Prints a result as JSON, or as lines of text. */
export function printResult(result: unknown, lines: string[], options: PrintOptions): void {
  const text = options.json ? JSON.stringify(result, replaceBigint, 2) : lines.join('\n');
  process.stdout.write(`${text}\n`);
}

/** Formats rows as a table. */
export function formatTable(head: string[], rows: string[][]): string {
  const table = new Table({ head, style: { head: [], border: [] } });
  rows.forEach((row) => table.push(row));
  return table.toString();
}

function replaceBigint(_key: string, value: unknown): unknown {
  return typeof value === 'bigint' ? Number(value) : value;
}
