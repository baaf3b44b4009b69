/** Status that an upstream reports about itself. @public */
export type UpstreamReport = {
  readonly name: string;
  readonly service: string;
  /** Version of its software. */
  readonly version: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  readonly sequence: number;
  /** Start time of this instance, in ms since the Unix epoch. */
  readonly born: number;
};
