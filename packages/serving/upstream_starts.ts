import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** One start of an upstream, as updates of it came. */
type ReceivedStart = {
  readonly id: string;
  readonly born: Milliseconds;
  receivedAt: Milliseconds;
  /** When it was seen before that, in another update. */
  receivedBefore: Milliseconds;
};

/**
 * Silence of a start after which one that was born earlier may be the living
 * one: two heartbeats, longer than what updates are late by but for cuts.
 */
const SILENT_AFTER: Milliseconds = 2500;
/** Updates that come closer together may have been held up together. */
const APART: Milliseconds = 300;

/**
 * Which start of each upstream lives. The one that was born last does, as an
 * upstream starts again only when it has ended. Updates of an earlier start
 * that come late, ready or leaving, change nothing of it.
 *
 * A birth is stated by the wall clock of a VM, which may have been set back
 * between two starts. So one that was born earlier is taken for the living one
 * once it was seen twice, well apart, after the other had been silent for two
 * heartbeats: one late heartbeat, or several that a cut held up, don't do that.
 *
 * @internal
 */
export class UpstreamStarts {
  readonly #byName = new Map<string, ReceivedStart[]>();
  readonly #living = new Map<string, string>();

  /** Takes in that a start was seen, and says whether it lives. */
  receive(record: UpstreamRecord, now: Milliseconds): boolean {
    const { id, name, born } = record;
    if (born === undefined) {
      return true;
    }
    const starts = this.#byName.get(name) ?? [];
    this.#byName.set(name, starts);
    const known = starts.find((start) => start.id === id);
    if (known === undefined) {
      starts.push({ id, born, receivedAt: now, receivedBefore: -Infinity });
    } else if (now - known.receivedAt >= APART) {
      known.receivedBefore = known.receivedAt;
      known.receivedAt = now;
    }
    this.#living.set(name, findLiving(starts).id);
    return this.lives(record);
  }

  /** Whether a start is the living one of its name. */
  lives({ id, name, born }: UpstreamRecord): boolean {
    return born === undefined || this.#living.get(name) === id;
  }

  /** Whether another start of the name was seen as well. */
  hasEarlier({ id, name }: UpstreamRecord): boolean {
    const starts = this.#byName.get(name) ?? [];
    return starts.some((start) => start.id !== id);
  }

  /** The identity of the living start of a name. */
  livingOf(name: string): string {
    return this.#living.get(name) ?? name;
  }

  forget({ id, name }: UpstreamRecord): void {
    const starts = this.#byName.get(name) ?? [];
    const left = starts.filter((start) => start.id !== id);
    if (left.length > 0) {
      this.#byName.set(name, left);
      this.#living.set(name, findLiving(left).id);
    } else {
      this.#byName.delete(name);
      this.#living.delete(name);
    }
  }
}

function findLiving(starts: readonly ReceivedStart[]): ReceivedStart {
  const byBirth = [...starts].sort((left, right) => right.born - left.born);
  let living = byBirth[0]!;
  for (const earlier of byBirth.slice(1)) {
    const isAlive = earlier.receivedAt - living.receivedAt >= SILENT_AFTER &&
      earlier.receivedBefore > living.receivedAt;
    if (isAlive) {
      living = earlier;
    }
  }
  return living;
}
