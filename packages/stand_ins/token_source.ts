import { createHash, type Hash } from "node:crypto";

const WORDS = [
  " table",
  " window",
  " evening",
  " quiet",
  " seven",
  " guests",
  " harbour",
  " letter",
  " garden",
  " music",
  " weekend",
  " lovely",
  " booked",
  " reply",
  " please",
  " tomorrow",
] as const;

/** Mean length of a completion: each draw ends it with 1 / this chance. */
const MEAN_COMPLETION_TOKENS = 250;

/**
 * A deterministic model: each token depends on the salt and all preceding text,
 * as in greedy decoding. Generation that resumes from the prompt and the output
 * so far therefore continues with the same text.
 *
 * @public
 */
export class TokenSource {
  readonly #hash: Hash;

  constructor(text: string, salt: string) {
    this.#hash = createHash("sha1").update(salt).update(text);
  }

  /** Returns the next token, or undefined at the end of the completion. */
  next(): string | undefined {
    const draw = this.#hash.copy().digest().readUInt32BE(0);
    if (draw % MEAN_COMPLETION_TOKENS === 0) {
      return undefined;
    }
    const token = WORDS[draw % WORDS.length]!;
    this.#hash.update(token);
    return token;
  }
}
