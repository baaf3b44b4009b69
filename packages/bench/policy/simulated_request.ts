import type { Priority } from "@heroncleat/schema";

export type SimulatedRequest = {
  readonly id: string;
  readonly workspace: number;
  readonly priority: Priority;
  readonly prompt: string;
  /**
   * Length of the prompt in words; the engine counts each word as one token.
   */
  readonly promptWords: number;
  /** Length of the response in tokens. */
  readonly tokens: number;
  readonly at: number;
};
