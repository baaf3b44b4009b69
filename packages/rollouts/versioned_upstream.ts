/** The properties of an upstream that its version decides on. @public */
export type VersionedUpstream = {
  readonly record: {
    readonly id: string;
    readonly service: string;
    readonly state: string;
    /** Version of its software; absent if it isn't reported. */
    readonly version?: string | undefined;
    /** Whether it is still slow after its start. */
    readonly isCold?: boolean | undefined;
  };
};
