import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

/** One start of an upstream, as updates of it came. */
type ReceivedInstance = {
  readonly id: string;
  readonly born: Milliseconds;
  receivedAt: Milliseconds;
  /** When it was seen before that, in another update. */
  previouslyReceivedAt: Milliseconds;
};

/**
 * Silence of a start after which one that was born earlier may be the living
 * one: two heartbeats, longer than what updates are late by but for cuts.
 */
const INSTANCE_TIMEOUT: Milliseconds = 2500;
/** Updates that come closer together may have been held up together. */
const MIN_UPDATE_INTERVAL: Milliseconds = 300;

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
export class UpstreamInstances {
  readonly #byName = new Map<string, ReceivedInstance[]>();
  readonly #currentIds = new Map<string, string>();

  /** Takes in that a start was seen, and says whether it lives. */
  observe(record: UpstreamRecord, now: Milliseconds): boolean {
    const { id, name, born } = record;
    if (born === undefined) {
      return true;
    }
    const instances = this.#byName.get(name) ?? [];
    this.#byName.set(name, instances);
    const known = instances.find((instance) => instance.id === id);
    if (known === undefined) {
      instances.push({
        id,
        born,
        receivedAt: now,
        previouslyReceivedAt: -Infinity,
      });
    } else if (now - known.receivedAt >= MIN_UPDATE_INTERVAL) {
      known.previouslyReceivedAt = known.receivedAt;
      known.receivedAt = now;
    }
    this.#currentIds.set(name, findCurrent(instances).id);
    return this.isCurrent(record);
  }

  /** Whether a start is the living one of its name. */
  isCurrent({ id, name, born }: UpstreamRecord): boolean {
    return born === undefined || this.#currentIds.get(name) === id;
  }

  /** Whether another start of the name was seen as well. */
  hasOtherInstances({ id, name }: UpstreamRecord): boolean {
    const instances = this.#byName.get(name) ?? [];
    return instances.some((instance) => instance.id !== id);
  }

  /** The identity of the living start of a name. */
  currentIdOf(name: string): string {
    return this.#currentIds.get(name) ?? name;
  }

  remove({ id, name }: UpstreamRecord): void {
    const instances = this.#byName.get(name) ?? [];
    const remaining = instances.filter((instance) => instance.id !== id);
    if (remaining.length > 0) {
      this.#byName.set(name, remaining);
      this.#currentIds.set(name, findCurrent(remaining).id);
    } else {
      this.#byName.delete(name);
      this.#currentIds.delete(name);
    }
  }
}

function findCurrent(instances: readonly ReceivedInstance[]): ReceivedInstance {
  const byStartTime = [...instances].sort((left, right) =>
    right.born - left.born
  );
  let current = byStartTime[0]!;
  for (const earlier of byStartTime.slice(1)) {
    const isActive =
      earlier.receivedAt - current.receivedAt >= INSTANCE_TIMEOUT &&
      earlier.previouslyReceivedAt > current.receivedAt;
    if (isActive) {
      current = earlier;
    }
  }
  return current;
}
