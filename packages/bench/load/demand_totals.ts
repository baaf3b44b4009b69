import type { Milliseconds } from "@heroncleat/base";
import type { DemandReport, DemandRow } from "@heroncleat/shedding";

/** Time without an exchange after which a replica misses an entry. */
const MISSING_TIMEOUT: Milliseconds = 1200;

/** Shortest time between two sums, as many entries exchange in it. */
const SUM_PERIOD: Milliseconds = 30;

/** Sums of the demand that entries report, as a primary replica knows them. */
export class DemandTotals {
  readonly #reports = new Map<
    number,
    { readonly report: DemandReport; readonly at: Milliseconds }
  >();

  #sums: DemandReport | undefined;
  #summedAt: Milliseconds = -Infinity;

  /** Replaces the report of an entry, and returns the sums. */
  exchange(
    entry: number,
    report: DemandReport | undefined,
    now: Milliseconds,
  ): DemandReport | undefined {
    this.#reports.delete(entry);
    if (report !== undefined) {
      this.#reports.set(entry, { report, at: now });
    }
    if (now - this.#summedAt >= SUM_PERIOD) {
      this.#summedAt = now;
      this.#sums = this.#sum(now);
    }
    return this.#sums;
  }

  #sum(now: Milliseconds): DemandReport | undefined {
    const totals: Record<string, Map<string, DemandRow>> = {};
    for (const { report, at } of this.#reports.values()) {
      if (now - at > MISSING_TIMEOUT) {
        continue;
      }
      for (const [service, rows] of Object.entries(report)) {
        const sums = totals[service] ??= new Map();
        for (const row of rows) {
          addRow(sums, row);
        }
      }
    }
    const services = Object.entries(totals);
    return services.length === 0
      ? undefined
      : Object.fromEntries(services.map(([name, sums]) => [
        name,
        [...sums.values()],
      ]));
  }
}

function addRow(sums: Map<string, DemandRow>, row: DemandRow): void {
  const key = `${row.priority} ${row.workspace}`;
  const sum = sums.get(key);
  sums.set(
    key,
    sum === undefined ? row : {
      ...row,
      asked: sum.asked + row.asked,
      admitted: sum.admitted + row.admitted,
    },
  );
}
