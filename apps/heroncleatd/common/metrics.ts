/** Metrics of one process. */
export type Metrics = {
  increment(name: string, by?: number): void;
  gauge(name: string, value: number): void;
  timing(name: string, milliseconds: number): void;
  close(): void;
};
