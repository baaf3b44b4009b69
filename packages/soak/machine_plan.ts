/** Properties of a VM that its processes are configured with. @public */
export type MachinePlan = {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of this VM alone. */
  readonly host: string;
  /** Data folder of its control replica; undefined without a replica. */
  readonly dataFolder: string | undefined;
  /** Operator addresses of up to three control replicas. */
  readonly seeds: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
};
