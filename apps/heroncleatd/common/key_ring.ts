import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Keys and their holders. A key's digest is compared with that of every known
 * key in constant time, so that timing reveals nothing about the keys.
 */
export class KeyRing {
  readonly #digests: readonly { holder: string; digest: Buffer }[];

  constructor(keys: Readonly<Record<string, string>>) {
    this.#digests = Object.entries(keys).map(([holder, key]) => ({
      holder,
      digest: digestOf(key),
    }));
  }

  /** Returns the holder of a key, or undefined if the key is unknown. */
  holderOf(key: string): string | undefined {
    const digest = digestOf(key);
    let holder: string | undefined;
    for (const candidate of this.#digests) {
      if (timingSafeEqual(candidate.digest, digest)) {
        holder = candidate.holder;
      }
    }
    return holder;
  }
}

function digestOf(key: string): Buffer {
  return createHash("sha256").update(key).digest();
}
