/** Time between a request that crashes the process and its end, in ms. */
const CRASH_DELAY = 30;

/** Ends the process soon where a body holds a text, and says whether it does. */
export function crashIfBodyContains(
  text: string | undefined,
  body: string,
): boolean {
  const containsText = text !== undefined && body.includes(text);
  if (containsText) {
    setTimeout(() => process.exit(1), CRASH_DELAY);
  }
  return containsText;
}
