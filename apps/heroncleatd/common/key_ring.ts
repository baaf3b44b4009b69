import { createHash, timingSafeEqual } from "node:crypto";

/**
 * Keys and their holders. A key is compared with every known one by digest in
 * constant time, so the time taken says nothing about the keys.
 */
export class KeyRing {
  readonly #digests: readonly { holder: string; digest: Buffer }[];

  constructor(keys: Readonly<Record<string, string>>) {
    this.#digests = Object.entries(keys).map(([holder, key]) => ({
      holder,
      digest: digestOf(key),
    }));
  }

  /** The holder of a key, or nothing for an unknown one. */
  holderOf(key: string): string | undefined {
    const digest = digestOf(key);
    let holder: string | undefined;
    for (const known of this.#digests) {
      if (timingSafeEqual(known.digest, digest)) {
        holder = known.holder;
      }
    }
    return holder;
  }
}

function digestOf(key: string): Buffer {
  return createHash("sha256").update(key).digest();
}
