/** Demand for a model or adapter. @public */
export type ModelDemand = {
  readonly model: string;
  /** Requests per second. */
  readonly rate: number;
  /** Size of the weights. */
  readonly bytes: number;
};
