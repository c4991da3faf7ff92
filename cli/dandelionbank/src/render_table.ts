/** Renders rows as a table of aligned columns. */

export type Row = Readonly<Record<string, string | number>>;

const COLUMN_SEPARATOR = "  ";

export function renderTable(rows: readonly Row[]): string {
  const first = rows[0];
  if (first === undefined) return "None";
  const titles = Object.keys(first);
  const cells = rows.map((row) => titles.map((title) => String(row[title])));
  const widths = titles.map((title, column) =>
    Math.max(title.length, ...cells.map((line) => line[column]?.length ?? 0))
  );
  return [titles, ...cells].map((line) => alignLine(line, widths)).join("\n");
}

/** Sorts rows by one column; digits within texts are compared as numbers. */
export function sortRows(rows: readonly Row[], column: string): readonly Row[] {
  const { compare } = new Intl.Collator("en", { numeric: true });
  return rows.toSorted((left, right) =>
    compare(String(left[column]), String(right[column]))
  );
}

function alignLine(line: readonly string[], widths: readonly number[]): string {
  return line
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join(COLUMN_SEPARATOR)
    .trimEnd();
}
