/** Tokens of a text as the stand-ins count them: words. @public */
export function countTokens(text: string): number {
  const words = text.trim().split(/\s+/);
  return words[0] === "" ? 0 : words.length;
}
