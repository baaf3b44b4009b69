/** Counts of one kind and group of workspaces in a play, as printed. */
export type ResultRow = {
  readonly row: string;
  readonly kind: string;
  readonly rank: number;
  readonly workspaces: "all" | "largest" | "others";
  readonly sent: number;
  readonly on_time: number;
  readonly late: number;
  readonly refused: number;
  readonly lost: number;
};
