/** How much a model or adapter is asked for. @public */
export type ModelDemand = {
  readonly model: string;
  /** Requests a second. */
  readonly rate: number;
  /** Bytes of its weights. */
  readonly bytes: number;
};
