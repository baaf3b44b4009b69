/** Requests that are treated alike where permits are short. @public */
export type RequestClass = {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Empty for requests without a workspace. */
  readonly workspace: string;
};
