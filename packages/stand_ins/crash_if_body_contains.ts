const CRASH_DELAY_MS = 30;

/**
 * Crashes the process after a short delay if a body contains a text.
 *
 * @returns Whether the body contains the text.
 */
export function crashIfBodyContains(
  text: string | undefined,
  body: string,
): boolean {
  const containsText = text !== undefined && body.includes(text);
  if (containsText) {
    setTimeout(() => process.exit(1), CRASH_DELAY_MS);
  }
  return containsText;
}
