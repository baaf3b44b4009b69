/**
 * Splits a comma-separated settings value into trimmed, non-empty parts.
 *
 * @public
 */
export function splitList(text: string): string[] {
  return text.split(",").map((part) => part.trim()).filter((part) =>
    part !== ""
  );
}
