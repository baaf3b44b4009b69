const COLUMN_GAP = "  ";

/** Formats rows under headings, each column as wide as its longest cell. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const cells = rows.map((row) => row.map((cell) => formatCell(cell)));
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...cells.map((row) => row[column]?.length ?? 0))
  );
  const lines = [headings, ...cells].map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_GAP)
      .trimEnd()
  );
  return lines.join("\n");
}

function formatCell(cell: unknown): string {
  if (cell === undefined || cell === null) {
    return "-";
  }
  if (typeof cell === "object") {
    const pairs = Object.entries(cell).map(([key, value]) => `${key}=${value}`);
    return pairs.length === 0 ? "-" : pairs.join(",");
  }
  return String(cell);
}
