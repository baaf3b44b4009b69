/** An upstream that can load models. @public */
export type ModelHost = {
  readonly upstream: string;
  readonly zone: string;
  readonly models: readonly string[];
  /** Free memory for weights. */
  readonly freeBytes: number;
};
