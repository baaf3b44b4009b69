import type { Load } from "./load.ts";
import type { PlayResult } from "./play_result.ts";

/** The plays of one load with one set of decisions. */
export type LoadRow = {
  readonly load: Load;
  readonly decisions: string;
  /** By seed. */
  readonly plays: ReadonlyMap<number, PlayResult>;
  /** All plays together. */
  readonly result: PlayResult;
};
