/** Pieces of this size and more, in bytes, are kept as they are. */
const LARGE_PIECE_BYTES = 8 * 1024;
const MIN_BLOCK_BYTES = 4 * 1024;
const MAX_BLOCK_BYTES = 64 * 1024;

/**
 * Joins bytes that arrive in pieces. Small pieces are copied into blocks, as
 * each would otherwise keep an object and the whole read that it came with.
 */
export class ByteCollector {
  #blocks: Buffer[] = [];
  /** The block that small pieces are copied to, and the bytes used of it. */
  #open: Buffer | undefined;
  #used = 0;
  #length = 0;
  readonly #copiesFirst: boolean;

  /**
   * @param options.copiesFirst Whether a small first piece is copied too, as it
   *     is held for long.
   */
  constructor({ copiesFirst = false }: { copiesFirst?: boolean } = {}) {
    this.#copiesFirst = copiesFirst;
  }

  get length(): number {
    return this.#length;
  }

  append(piece: Buffer): void {
    const isKept = this.#length === 0 && !this.#copiesFirst;
    this.#length += piece.length;
    if (isKept || piece.length >= LARGE_PIECE_BYTES) {
      this.#closeBlock();
      this.#blocks.push(piece);
      return;
    }
    let from = 0;
    while (from < piece.length) {
      if (this.#open === undefined || this.#used === this.#open.length) {
        this.#closeBlock();
        const size = Math.min(this.#length, MAX_BLOCK_BYTES);
        this.#open = Buffer.allocUnsafeSlow(Math.max(MIN_BLOCK_BYTES, size));
      }
      const copied = piece.copy(this.#open, this.#used, from);
      this.#used += copied;
      from += copied;
    }
  }

  /** The bytes so far. */
  peek(): Buffer {
    this.#closeBlock();
    return this.#blocks.length === 1
      ? this.#blocks[0]!
      : Buffer.concat(this.#blocks);
  }

  /** Returns the bytes and forgets them. */
  take(): Buffer {
    const bytes = this.peek();
    this.clear();
    return bytes;
  }

  clear(): void {
    this.#blocks = [];
    this.#open = undefined;
    this.#used = 0;
    this.#length = 0;
  }

  #closeBlock(): void {
    if (this.#open !== undefined) {
      this.#blocks.push(this.#open.subarray(0, this.#used));
      this.#open = undefined;
      this.#used = 0;
    }
  }
}
