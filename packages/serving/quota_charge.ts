/** A charge of a request to a workspace. @public */
export type QuotaCharge = {
  readonly workspace: string;
  readonly amount: number;
  /** Whether it was charged to the tolerated excess instead of the quota. */
  readonly isExcess: boolean;
};
