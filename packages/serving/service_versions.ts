/** The software versions that may have begun a stream, by service. @public */
export type ServiceVersions = {
  /** Versions of which an upstream was there within the retention. */
  readonly versions: Readonly<Record<string, readonly string[]>>;
  /**
   * Whether the replica has observed upstreams for the whole retention, so that
   * none is missing.
   */
  readonly isComplete: boolean;
};
