/** Measurements of a simulation of rests. */
export type RestOutcome = {
  readonly rests: number;
  readonly broken: number;
  readonly rejections: number;
  /** Share of the requests served in time, and the largest possible one. */
  readonly served: number;
  readonly servable: number;
  readonly notices: number;
};
