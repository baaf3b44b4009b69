import type { LoadRow } from "./load_row.ts";

/** A target of docs/UNDER_LOAD.md. */
export type LoadTarget = {
  readonly name: string;
  readonly bound: number;
  /** Whether the measured value must be at least or at most the bound. */
  readonly direction: "at least" | "at most";
  readonly measure: (rows: readonly LoadRow[]) => number;
};
