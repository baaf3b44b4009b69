import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import type { Metrics } from "./metrics.ts";

/** Upper bounds of the buckets of duration histograms. */
const TIME_BOUNDS_MS = [
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
 * Interval between two samples of the event loop's delay. Each sample wakes an
 * idle process: the library's default of 10 ms would take 0.5 % of a core, most
 * of what an idle entry uses.
 */
const EVENT_LOOP_SAMPLE_MS = 500;

/** Metrics that other processes scrape. */
type ExposedMetrics = Metrics & {
  /** Renders all metrics in the Prometheus text format. */
  readonly render: () => Promise<string>;
};

/**
 * Creates metrics whose counters, gauges and histograms are registered on first
 * use.
 */
export function createExposedMetrics(): ExposedMetrics {
  const registry = new Registry();
  const processRegistry = new Registry();
  collectDefaultMetrics({
    register: processRegistry,
    prefix: PREFIX,
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS,
  });
  const registers = [registry];
  const counters = new Map<string, Counter>();
  const gauges = new Map<string, Gauge>();
  const histograms = new Map<string, Histogram>();
  return {
    increment: (name, by = 1) =>
      getOrCreate(counters, name, () =>
        new Counter({
          name: `${prometheusName(name)}_total`,
          help: `Count of ${name}`,
          registers,
        })).inc(by),
    gauge: (name, value) =>
      getOrCreate(
        gauges,
        name,
        () =>
          new Gauge({
            name: prometheusName(name),
            help: `Now: ${name}`,
            registers,
          }),
      )
        .set(value),
    timing: (name, milliseconds) =>
      getOrCreate(histograms, name, () =>
        new Histogram({
          name: `${prometheusName(name)}_ms`,
          help: `Milliseconds of ${name}`,
          buckets: TIME_BOUNDS_MS,
          registers,
        })).observe(milliseconds),
    close: () => {
      registry.clear();
      processRegistry.clear();
    },
    // The application's metrics come first, so that a truncated scrape still
    // contains them.
    render: async () =>
      `${await registry.metrics()}\n${await processRegistry.metrics()}`,
  };
}

function getOrCreate<Metric>(
  metrics: Map<string, Metric>,
  name: string,
  create: () => Metric,
): Metric {
  const metric = metrics.get(name) ?? create();
  metrics.set(name, metric);
  return metric;
}

function prometheusName(name: string): string {
  return PREFIX + name.replaceAll(/[^a-zA-Z0-9_]/g, "_");
}
