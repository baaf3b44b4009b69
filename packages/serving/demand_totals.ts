import { createRecord, type Milliseconds } from "@heroncleat/base";
import {
  type DemandReport,
  type DemandRow,
  limitRows,
} from "@heroncleat/shedding";

/** Time for which the created sums are reused in replies. */
const TOTALS_LIFETIME: Milliseconds = 50;

/** Rows of a service by rank and workspace. */
type RowsByKey = Map<string, DemandRow>;

/**
 * Sums the demand that entries report while a service is short. Sums are updated
 * incrementally, so that applying a report takes time proportional to its size.
 *
 * @internal
 */
export class DemandTotals {
  readonly #reports = new Map<string, DemandReport>();
  readonly #services = new Map<string, RowsByKey>();
  #created: { at: Milliseconds; report: DemandReport | undefined } = {
    at: -Infinity,
    report: undefined,
  };

  /** Replaces the demand of an entry; undefined if nothing is short for it. */
  update(entry: string, report: DemandReport | undefined): void {
    const previous = this.#reports.get(entry);
    if (previous !== undefined) {
      this.#add(previous, -1);
      this.#reports.delete(entry);
    }
    if (report !== undefined) {
      this.#add(report, 1);
      this.#reports.set(entry, report);
    }
  }

  /** Removes the demand of an unresponsive entry. */
  remove(entry: string): void {
    this.update(entry, undefined);
  }

  /** Sums over all entries; undefined while nothing is short. */
  sums(now: Milliseconds): DemandReport | undefined {
    if (now - this.#created.at >= TOTALS_LIFETIME) {
      this.#created = { at: now, report: this.#createReport() };
    }
    return this.#created.report;
  }

  #createReport(): DemandReport | undefined {
    if (this.#services.size === 0) {
      return undefined;
    }
    const report = createRecord<readonly DemandRow[]>();
    for (const [service, rows] of this.#services) {
      report[service] = limitRows([...rows.values()]);
    }
    return report;
  }

  #add(report: DemandReport, sign: 1 | -1): void {
    for (const [service, rows] of Object.entries(report)) {
      const sums: RowsByKey = this.#services.get(service) ?? new Map();
      this.#services.set(service, sums);
      for (const { priority, workspace, asked, admitted } of rows) {
        const key = `${priority} ${workspace}`;
        const sum = sums.get(key);
        const next = {
          priority,
          workspace,
          asked: (sum?.asked ?? 0) + sign * asked,
          admitted: (sum?.admitted ?? 0) + sign * admitted,
        };
        if (next.asked > 0) {
          sums.set(key, next);
        } else {
          sums.delete(key);
        }
      }
      if (sums.size === 0) {
        this.#services.delete(service);
      }
    }
  }
}
