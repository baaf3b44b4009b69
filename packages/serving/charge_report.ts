/** What one process of an entry charged, by quota bucket. @public */
export type ChargeReport = {
  /** Identifier of the process; new with each start. */
  readonly boot: string;
  /** Tokens since its start. */
  readonly spent: Readonly<Record<string, number>>;
  /** Whether buckets that didn't change since the last report are left out. */
  readonly isPartial?: boolean;
  /** Sum of all totals, those left out too; checked where it is present. */
  readonly digest?: number;
};
