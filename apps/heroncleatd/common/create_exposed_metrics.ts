import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { Metrics } from "./metrics.ts";

/** Upper bounds of the histograms of times, in ms. */
const TIME_BOUNDS = [
  5,
  10,
  25,
  50,
  100,
  200,
  400,
  800,
  1600,
  3200,
  6400,
  15_000,
];
const PREFIX = "heroncleat_";
/**
 * Pause between two samples of the event loop's delay, in ms. Each one wakes an
 * idle process: with the library's 10 ms that is 99 times a second and 0.5 % of
 * a core, most of what an idle entry takes.
 */
const LOOP_SAMPLE_PAUSE = 500;

/** Metrics that are read from this process as text. */
type ExposedMetrics = Metrics & {
  /** All of them in the Prometheus text format. */
  readonly render: () => Promise<string>;
};

/** Makes counters, gauges and histograms that are created at first use. */
export function createExposedMetrics(): ExposedMetrics {
  const registry = new Registry();
  const processRegistry = new Registry();
  collectDefaultMetrics({
    register: processRegistry,
    prefix: PREFIX,
    eventLoopMonitoringPrecision: LOOP_SAMPLE_PAUSE,
  });
  const registers = [registry];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  return {
    increment: (name, by = 1) =>
      getOrCreate(counters, name, () =>
        new Counter({
          name: `${nameOf(name)}_total`,
          help: `Count of ${name}`,
          registers,
        })).inc(by),
    gauge: (name, value) =>
      getOrCreate(
        gauges,
        name,
        () =>
          new Gauge({ name: nameOf(name), help: `Now: ${name}`, registers }),
      )
        .set(value),
    timing: (name, milliseconds) =>
      getOrCreate(histograms, name, () =>
        new Histogram({
          name: `${nameOf(name)}_ms`,
          help: `Milliseconds of ${name}`,
          buckets: TIME_BOUNDS,
          registers,
        })).observe(milliseconds),
    close: () => {
      registry.clear();
      processRegistry.clear();
    },
    // What heroncleat counts comes first: of a record that kept 4,000 bytes of
    // each reading, nothing else than the process's own was left.
    render: async () =>
      `${await registry.metrics()}\n${await processRegistry.metrics()}`,
  };
}

function getOrCreate<Metric>(
  known: Map<string, Metric>,
  name: string,
  create: () => Metric,
): Metric {
  const metric = known.get(name) ?? create();
  known.set(name, metric);
  return metric;
}

function nameOf(name: string): string {
  return PREFIX + name.replaceAll(/[^a-zA-Z0-9_]/g, "_");
}
