import type { DocumentDifference, DocumentFinding } from "@heroncleat/serving";

const SIGNS = { added: "+", removed: "-", changed: "~" };

/** Formats findings and differences as text. */
export function formatCheck(
  findings: readonly DocumentFinding[],
  differences: readonly DocumentDifference[] | undefined,
): string {
  const lines = findings.map(({ severity, path, message }) =>
    path === "" ? `${severity}: ${message}` : `${severity}: ${path}: ${message}`
  );
  if (findings.length === 0) {
    lines.push("No errors or warnings.");
  }
  if (differences !== undefined) {
    lines.push(
      differences.length === 0
        ? "No differences from the other version."
        : "Differences from the other version:",
      ...differences.map(formatDifference),
    );
  }
  return lines.join("\n");
}

function formatDifference(difference: DocumentDifference): string {
  const { change, part, field, before = "none", after = "none" } = difference;
  const sign = SIGNS[change];
  return field === undefined
    ? `  ${sign} ${part}`
    : `  ${sign} ${part} ${field}: ${before} -> ${after}`;
}
