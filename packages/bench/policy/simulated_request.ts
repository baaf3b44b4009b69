import type { Priority } from "@heroncleat/schema";

/** A request of the simulated callers. */
export type SimulatedRequest = {
  readonly id: string;
  readonly workspace: number;
  readonly priority: Priority;
  readonly prompt: string;
  /** Words of the prompt, which the engine counts as tokens. */
  readonly words: number;
  /** Tokens of the answer. */
  readonly tokens: number;
  readonly at: number;
};
