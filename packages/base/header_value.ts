// deno-lint-ignore no-control-regex
const CONTROL_CHARACTER = /[\x00-\x08\x0a-\x1f\x7f]/;

/** Text from outside as the value of a header. @public */
export const headerValue = {
  /** Whether a header can have the text. */
  allows(text: string): boolean {
    return !CONTROL_CHARACTER.test(text);
  },

  /** Encodes text as UTF-8, of which `node:http` sends each character as a byte. */
  encode(text: string): string {
    return Buffer.from(text, "utf8").toString("latin1");
  },
};
