import { byteLimits } from "./byte_limits.ts";
import { EndlessShape } from "./endless_shape.ts";
import type { ExceededLimit } from "./exceeded_limit.ts";

/** Codes of errors of Node's parser. */
const PARSER_ERROR = "HPE_";
const HEADER_OVERFLOW = "HPE_HEADER_OVERFLOW";
const EXTENSIONS_OVERFLOW = "HPE_CHUNK_EXTENSIONS_OVERFLOW";

/** The error by which a connection is closed that exceeded a limit. */
export class EndlessBytes extends Error {
  readonly code: string;
  readonly shape: EndlessShape;
  readonly bytes: number;
  readonly limit: number;

  constructor({ shape, bytes, limit }: ExceededLimit) {
    super(`too much was received (${shape}: ${bytes} of ${limit})`);
    this.code = `endless_${shape}`;
    this.shape = shape;
    this.bytes = bytes;
    this.limit = limit;
  }

  /** Returns the same error, unless Node's parser closed at a limit. */
  static from(
    error: NodeJS.ErrnoException,
    { hasHead, received }: { hasHead: boolean; received: number },
  ): NodeJS.ErrnoException {
    const { code = "" } = error;
    if (code === HEADER_OVERFLOW) {
      return new EndlessBytes({
        shape: hasHead ? EndlessShape.framing : EndlessShape.head,
        bytes: received,
        limit: byteLimits.head,
      });
    }
    if (code === EXTENSIONS_OVERFLOW) {
      return new EndlessBytes({
        shape: EndlessShape.framing,
        bytes: received,
        limit: byteLimits.head,
      });
    }
    return code.startsWith(PARSER_ERROR) && !hasHead
      ? new EndlessBytes({
        shape: EndlessShape.notHead,
        bytes: received,
        limit: 0,
      })
      : error;
  }
}
