/** What an upstream says of itself. @public */
export type UpstreamReport = {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  readonly sequence: number;
  /** When this start began, in ms since 1970. */
  readonly born: number;
};
