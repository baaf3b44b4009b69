/** What a request was charged to. @public */
export type QuotaCharge = {
  readonly workspace: string;
  readonly amount: number;
  /** Whether it was paid from what is tolerated beyond the quota. */
  readonly isExcess: boolean;
};
