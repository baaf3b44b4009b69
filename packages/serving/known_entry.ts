/** An entry that callers may be sent to. @public */
export type KnownEntry = {
  readonly name: string;
  /** host:port for callers. */
  readonly address: string;
  readonly zone: string;
  readonly region: string;
  /**
   * Services of which the entry reaches no upstream, in order; absent if there
   * are none.
   */
  readonly unreachable?: readonly string[] | undefined;
};
