import type { Milliseconds, Random } from "@heroncleat/base";
import { RevisionCounter } from "./revision_counter.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { VersionLog } from "./version_log.ts";
import type { VirtualTime } from "./virtual_time.ts";

const SWEEP_INTERVAL: Milliseconds = 5000;
const UPSTREAMS_PER_VERSION = 4;

/**
 * The versions of a service whose upstreams start and end, and what a control
 * replica knows of them.
 *
 * @internal
 */
export class SimulatedOriginVersions {
  readonly #service: string;
  readonly #time: VirtualTime;
  readonly #random: Random;
  readonly #revisions = new RevisionCounter();
  readonly #log = new VersionLog(this.#revisions);
  /** Ready upstreams by version. */
  readonly #upstreams = new Map<string, number>();
  #startedCount = 0;

  constructor(
    service: string,
    { time, random }: { time: VirtualTime; random: Random },
  ) {
    this.#service = service;
    this.#time = time;
    this.#random = random;
  }

  get revision(): number {
    return this.#revisions.value;
  }

  list(): Iterable<string> {
    return this.#upstreams.keys();
  }

  countUpstreams(version: string): number {
    return this.#upstreams.get(version) ?? 0;
  }

  /** What entries get that know a revision. */
  since(revision: number): ServiceVersions | undefined {
    return this.#log.since(revision);
  }

  start(): void {
    this.#startedCount += 1;
    this.#upstreams.set(`v${this.#startedCount}`, UPSTREAMS_PER_VERSION);
    this.#observe();
  }

  /** Starts a second version, or ends one of two. */
  change(): void {
    const versions = [...this.#upstreams.keys()];
    if (versions.length < 2) {
      this.start();
      return;
    }
    const ended = versions[Math.floor(this.#random() * versions.length)]!;
    this.#observe();
    this.#upstreams.delete(ended);
  }

  sweep(): void {
    this.#observe();
    this.#log.expire(this.#time.now);
    this.#time.schedule(SWEEP_INTERVAL, () => this.sweep());
  }

  #observe(): void {
    for (const version of this.#upstreams.keys()) {
      const record = { service: this.#service, version };
      this.#log.observe(record as never, this.#time.now);
    }
  }
}
