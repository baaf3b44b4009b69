import { parseGeneration } from "./parse_generation.ts";
import { TokenSource } from "./token_source.ts";

/**
 * Computes the text that an engine with this salt generates for a chat or
 * completion body.
 *
 * @public
 */
export function expectedCompletion(
  body: Parameters<typeof parseGeneration>[0],
  salt: string,
): string {
  const { text, maxTokens } = parseGeneration(body);
  const source = new TokenSource(text, salt);
  let completion = "";
  for (let count = 0; count < maxTokens; count += 1) {
    const token = source.next();
    if (token === undefined) {
      return completion;
    }
    completion += token;
  }
  return completion;
}
