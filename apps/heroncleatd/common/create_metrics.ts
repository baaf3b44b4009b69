import { splitAddress } from "@heroncleat/base";
import type { MetricSettings } from "@heroncleat/schema";
import { StatsD } from "hot-shots";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

/** Creates StatsD metrics; without an address nothing is sent. */
export function createMetrics(
  settings: MetricSettings,
  log: Log,
): Metrics {
  const isOff = settings.address === "";
  const client = new StatsD({
    mock: isOff,
    ...isOff ? {} : splitAddress(settings.address),
    prefix: settings.prefix,
    errorHandler: (error) =>
      log.warn("Can't send metrics", { error: error.message }),
  });
  return {
    increment: (name, by = 1) => client.increment(name, by),
    gauge: (name, value) => client.gauge(name, value),
    timing: (name, milliseconds) => client.timing(name, milliseconds),
    close: () => client.close(() => {}),
  };
}
