import type { Milliseconds } from "@heroncleat/base";
import type { PromptPart } from "@heroncleat/serving";
import type { RequestKind } from "./request_kind.ts";

/** A request that a caller sends. */
export type OfferedRequest = {
  readonly id: number;
  readonly kind: RequestKind;
  /** Index of the workspace; 0 is the largest. */
  readonly workspace: number;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly events: number;
  /** When the caller first sent it. */
  readonly arrivedAt: Milliseconds;
  /** When this attempt arrived; entries don't know of earlier ones. */
  readonly attemptedAt: Milliseconds;
};
