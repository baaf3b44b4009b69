/** Formats rows of numbers and names as a Markdown table. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const lines = [
    `| ${headings.join(" | ")} |`,
    `| ${headings.map(() => "---").join(" | ")} |`,
    ...rows.map((row) => `| ${row.map(formatCell).join(" | ")} |`),
  ];
  return lines.join("\n");
}

function formatCell(cell: string | number): string {
  if (typeof cell === "string" || Number.isInteger(cell)) {
    return String(cell);
  }
  return Math.abs(cell) >= 100 ? cell.toFixed(0) : cell.toPrecision(3);
}
