import { isConnectableAddress } from "@heroncleat/base";
import { checkEntryReport, describeProblems } from "@heroncleat/schema";
import type { SyncRequest } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";

/** Limits text from other processes in log lines. */
const MAX_LOGGED_CHARACTERS = 200;

/**
 * Checks the reports of entries to a control replica, as what one states is
 * passed on to all others.
 */
export class EntryReportReader {
  readonly #log: Log;
  readonly #metrics: Pick<Metrics, "increment">;

  constructor({ log, metrics }: {
    log: Log;
    metrics: Pick<Metrics, "increment">;
  }) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Returns the report; an entry whose address can't be connected to counts as
   * closed.
   *
   * @throws An error that names the invalid fields.
   */
  read(parameters: unknown): SyncRequest {
    if (!checkEntryReport(parameters)) {
      const problem = describeProblems(checkEntryReport.errors)
        .slice(0, MAX_LOGGED_CHARACTERS);
      this.#metrics.increment("exchange.invalid_reports");
      this.#log.warn("Refused the report of an entry", { problem });
      throw new Error(
        `The report of the entry is invalid: ${problem}. Remedy: run ` +
          "releases that work together.",
      );
    }
    const request = parameters as unknown as SyncRequest;
    const { entry } = request;
    if (isConnectableAddress(entry.address)) {
      return request;
    }
    this.#metrics.increment("exchange.unusable_addresses");
    this.#log.warn("An entry has an address that can't be connected to", {
      entry: entry.name,
      address: entry.address.slice(0, MAX_LOGGED_CHARACTERS),
    });
    return { ...request, entry: { ...entry, isOpen: false } };
  }
}
