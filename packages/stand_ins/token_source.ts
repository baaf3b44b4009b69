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

/** One in so many tokens ends an answer. */
const END_INTERVAL = 250;

/**
 * The stand-in's model. Each token follows from the salt and the whole text
 * before it, as greedy decoding does: continuing an answer from prompt and
 * output so far gives the text that would have come anyway.
 *
 * @public
 */
export class TokenSource {
  readonly #hash: Hash;

  constructor(text: string, salt: string) {
    this.#hash = createHash("sha1").update(salt).update(text);
  }

  /** The next token, or nothing at the end of the answer. */
  next(): string | undefined {
    const draw = this.#hash.copy().digest().readUInt32BE(0);
    if (draw % END_INTERVAL === 0) {
      return undefined;
    }
    const token = WORDS[draw % WORDS.length]!;
    this.#hash.update(token);
    return token;
  }
}
