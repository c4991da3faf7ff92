/** Renders a Markdown table in the layout of the formatter. */

export function renderTable(titles, rows) {
  const cells = [titles, ...rows].map((row) => row.map(escapeCell));
  const widths = titles.map((_, column) =>
    Math.max(3, ...cells.map((row) => row[column].length))
  );
  const [head, ...body] = cells.map((row) => renderRow(row, widths));
  const delimiter = renderRow(widths.map((width) => "-".repeat(width)), widths);
  return [head, delimiter, ...body].join("\n");
}

function renderRow(row, widths) {
  const padded = row.map((cell, column) => cell.padEnd(widths[column]));
  return `| ${padded.join(" | ")} |`;
}

function escapeCell(cell) {
  return String(cell ?? "").replaceAll("|", "\\|");
}
