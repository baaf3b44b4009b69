/** What happens in one run. */
export type Scenario = {
  readonly name: string;
  /** Multiple of the calm rate, by time in ms. */
  readonly load: (at: number) => number;
  /** Zone taken with a short notice, and when. */
  readonly wave?: { readonly zone: string; readonly at: number };
  /** Whether starts are refused for a while after the wave. */
  readonly startsRefused?: boolean;
  /** One upstream decodes so many times slower. */
  readonly slowUpstream?: number;
  /** Share of cache events that are lost. */
  readonly cacheLoss?: number;
};
