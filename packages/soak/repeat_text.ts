const PIECE_BYTES = 64 * 1024;

/** Repeats a text, joined into pieces of 64 KiB or so. */
export function* repeatText(text: string, times: number): Iterable<Buffer> {
  const perPiece = Math.max(1, Math.floor(PIECE_BYTES / text.length));
  const piece = Buffer.from(text.repeat(perPiece));
  for (let left = times; left > 0; left -= perPiece) {
    yield left >= perPiece ? piece : Buffer.from(text.repeat(left));
  }
}
