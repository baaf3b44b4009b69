/** An entry that callers may be sent to. @public */
export type KnownEntry = {
  readonly name: string;
  /** host:port for callers. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
};
