/** An upstream that can load models. @public */
export type ModelHost = {
  readonly upstream: string;
  readonly zone: string;
  readonly models: readonly string[];
  /** Bytes of weights that still fit. */
  readonly freeBytes: number;
};
