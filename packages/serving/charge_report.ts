/** What one process of an entry charged, by quota bucket. @public */
export type ChargeReport = {
  /** ID of the entry's process incarnation. */
  readonly boot: string;
  /** Tokens charged since the process started. */
  readonly spent: Readonly<Record<string, number>>;
  /** Whether buckets that are unchanged since the last report are left out. */
  readonly isPartial?: boolean;
  /**
   * Sum of all totals, including those left out; compared by the receiver if
   * present.
   */
  readonly digest?: number;
};
