/** What entries and control replicas do about upstreams that drain. @internal */
export type DrainPolicy = {
  /** What resumed streams get of upstreams that drain. */
  readonly continues: "never" | "until_timeout" | "always";
  /**
   * Whether the drain of the last upstreams of a version is acknowledged only
   * once its streams have ended, or a time is over.
   */
  readonly holdsLast: boolean;
  /** Whether new streams avoid a version as soon as one of its upstreams drains. */
  readonly avoidsVersion: boolean;
};
