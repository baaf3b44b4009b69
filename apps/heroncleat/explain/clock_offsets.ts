import type { LogLine } from "./log_line.ts";

/** Smaller offsets are within the error of the clock estimate. */
const MIN_OFFSET_MS = 50;

/**
 * Offsets of the processes' wall clocks from true time, in ms, as the entries
 * log them. Positive means ahead. A process that logs no offset gets 0.
 */
export class ClockOffsets {
  readonly #samples = new Map<string, { at: number; ahead: number }[]>();

  constructor(lines: readonly LogLine[]) {
    for (const { process, at, fields } of lines) {
      const ahead = fields["clockAhead"];
      if (typeof ahead === "number") {
        const processSamples = this.#samples.get(process) ?? [];
        processSamples.push({ at, ahead });
        this.#samples.set(process, processSamples);
      }
    }
  }

  /** The offset that the process logged closest in time to one of its lines. */
  offsetAt(line: LogLine): number {
    let nearest = 0;
    let distance = Infinity;
    for (const { at, ahead } of this.#samples.get(line.process) ?? []) {
      if (Math.abs(at - line.at) < distance) {
        distance = Math.abs(at - line.at);
        nearest = ahead;
      }
    }
    return Math.abs(nearest) < MIN_OFFSET_MS ? 0 : nearest;
  }

  /** When a line was written, corrected by the offset, in ms since 1970. */
  trueTime(line: LogLine): number {
    return line.at - this.offsetAt(line);
  }
}
