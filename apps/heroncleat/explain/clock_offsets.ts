import type { LogLine } from "./log_line.ts";

/** Differences below this are within what the clocks' estimate can tell. */
const LEAST_OFFSET = 50;

/**
 * How far processes' wall clocks are ahead of true time, in ms, as the entries
 * among them say in their lines. Processes that say nothing count as right.
 */
export class ClockOffsets {
  readonly #told = new Map<string, { at: number; ahead: number }[]>();

  constructor(lines: readonly LogLine[]) {
    for (const { process, at, fields } of lines) {
      const ahead = fields["clockAhead"];
      if (typeof ahead === "number") {
        const told = this.#told.get(process) ?? [];
        told.push({ at, ahead });
        this.#told.set(process, told);
      }
    }
  }

  /** The offset that a process told nearest to a line of its own. */
  of(line: LogLine): number {
    let nearest = 0;
    let distance = Infinity;
    for (const { at, ahead } of this.#told.get(line.process) ?? []) {
      if (Math.abs(at - line.at) < distance) {
        distance = Math.abs(at - line.at);
        nearest = ahead;
      }
    }
    return Math.abs(nearest) < LEAST_OFFSET ? 0 : nearest;
  }

  /** When a line was written, in true time since 1970. */
  trueTime(line: LogLine): number {
    return line.at - this.of(line);
  }
}
