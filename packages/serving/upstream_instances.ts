import type { Milliseconds } from "@heroncleat/base";
import type { UpstreamRecord } from "./upstream_record.ts";

type ReceivedInstance = {
  readonly id: string;
  readonly born: Milliseconds;
  receivedAt: Milliseconds;
  /** When the update before the latest arrived. */
  previouslyReceivedAt: Milliseconds;
};

/**
 * Time without updates after which an instance with an earlier start time may
 * be the current one: two heartbeat intervals, longer than the usual delay of
 * updates without a partition.
 */
const INSTANCE_TIMEOUT: Milliseconds = 2500;
/** Updates less than this apart may have been delayed together. */
const MIN_UPDATE_INTERVAL: Milliseconds = 300;

/**
 * Tracks which instance of each upstream is current: the one with the latest
 * start time. As a wall clock may have been set back, an earlier one becomes
 * current when it is seen twice while the other is unresponsive.
 *
 * @internal
 */
export class UpstreamInstances {
  readonly #byName = new Map<string, ReceivedInstance[]>();
  readonly #currentIds = new Map<string, string>();

  /**
   * Records an update of an instance.
   *
   * @returns Whether it is the current instance.
   */
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

  isCurrent({ id, name, born }: UpstreamRecord): boolean {
    return born === undefined || this.#currentIds.get(name) === id;
  }

  /** Whether the upstream has other recorded instances. */
  hasOtherInstances({ id, name }: UpstreamRecord): boolean {
    const instances = this.#byName.get(name) ?? [];
    return instances.some((instance) => instance.id !== id);
  }

  /** ID of the current instance of an upstream. */
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
