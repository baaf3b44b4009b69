/** Counts the tokens of a text; for the stand-ins, a token is a word. @public */
export function countTokens(text: string): number {
  const words = text.trim().split(/\s+/);
  return words[0] === "" ? 0 : words.length;
}
