/** One VM as its processes are told of it. @public */
export type MachinePlan = {
  readonly name: string;
  readonly zone: string;
  /** Loopback address that only this VM has. */
  readonly host: string;
  /** Disk of its control replica; undefined where none runs. */
  readonly dataFolder: string | undefined;
  /** Operators' addresses of up to three control replicas. */
  readonly seeds: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
};
