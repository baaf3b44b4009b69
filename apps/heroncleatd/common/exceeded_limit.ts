import type { EndlessShape } from "./endless_shape.ts";

/** A limit that was exceeded. */
export type ExceededLimit = {
  readonly shape: EndlessShape;
  /** What was received or held. */
  readonly bytes: number;
  /** Bytes, unless the shape is limited by number or by time. */
  readonly limit: number;
};
