import type { Milliseconds, Random } from "@heroncleat/base";
import type { KnownOrigin } from "./known_origin.ts";
import { originReplicas } from "./origin_replicas.ts";
import type { OriginReport } from "./origin_report.ts";
import type { OriginSearchResult } from "./origin_search.ts";
import { OriginSource } from "./origin_source.ts";
import { StreamOrigins } from "./stream_origins.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** As at entries: time in which origins share a message. */
const SEND_INTERVAL: Milliseconds = 20;
const ANSWER_TIMEOUT: Milliseconds = 150;
/** As at replicas: time in which origins share a write, and the write itself. */
const WRITE_TIME: Milliseconds = 25;

/** A control replica that stores origins. */
type SimulatedReplica = {
  memory: StreamOrigins;
  disk: StreamOrigins;
  /** Increases with each restart, after which earlier writes are lost. */
  boot: number;
  isRunning: boolean;
};

type ArchiveOptions = {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly report: OriginReport;
  readonly replicaCount: number;
  /** Replicas that store each origin; none if 0. */
  readonly copies: number;
};

/** The control replicas that store where streams began. @internal */
export class SimulatedOriginArchive {
  readonly #options: ArchiveOptions;
  readonly #replicas = new Map<string, SimulatedReplica>();

  constructor(options: ArchiveOptions) {
    this.#options = options;
    for (let index = 0; index < options.replicaCount; index += 1) {
      this.#replicas.set(`replica-${index}:1`, {
        memory: new StreamOrigins(),
        disk: new StreamOrigins(),
        boot: 0,
        isRunning: true,
      });
    }
  }

  /** @param isRunning Whether the entry still runs when its batch is sent. */
  store(stream: string, known: KnownOrigin, isRunning: () => boolean): void {
    const { time, report, copies } = this.#options;
    for (const replica of this.#rank(stream).slice(0, copies)) {
      time.schedule(this.#options.random() * SEND_INTERVAL, () => {
        if (isRunning()) {
          report.stored += 1;
          time.schedule(
            this.#delay(),
            () => this.#keep(replica, stream, known),
          );
        }
      });
    }
  }

  find(stream: string, done: (result: OriginSearchResult) => void): void {
    const { time, copies } = this.#options;
    const asked = copies === 0
      ? []
      : this.#rank(stream).slice(0, originReplicas.maxAsked);
    let left = asked.length;
    let unanswered = 0;
    if (left === 0) {
      done({ kind: "unknown", unanswered });
      return;
    }
    const finish = (result: OriginSearchResult | undefined) => {
      left -= 1;
      if (result !== undefined) {
        done(result);
      } else if (left === 0) {
        done({ kind: "unknown", unanswered });
      }
    };
    for (const replica of asked) {
      if (!replica.isRunning) {
        unanswered += 1;
        time.schedule(ANSWER_TIMEOUT, () => finish(undefined));
        continue;
      }
      time.schedule(2 * this.#delay(), () => {
        const known = replica.memory.get(stream, time.now) ??
          replica.disk.get(stream, time.now);
        finish(
          known && {
            kind: "found",
            origin: known.origin,
            by: "replica",
            source: OriginSource.replica,
            age: 0,
          },
        );
      });
    }
  }

  /** Ends all replicas; what isn't on a disk is lost. */
  restartAll(downtime: Milliseconds): void {
    for (const replica of this.#replicas.values()) {
      replica.boot += 1;
      replica.memory = new StreamOrigins();
      replica.isRunning = false;
      this.#options.time.schedule(downtime, () => {
        replica.isRunning = true;
      });
    }
  }

  loseOneDisk(): void {
    const replicas = [...this.#replicas.values()];
    const at = Math.floor(this.#options.random() * replicas.length);
    replicas[at]!.memory = new StreamOrigins();
    replicas[at]!.disk = new StreamOrigins();
  }

  #keep(replica: SimulatedReplica, stream: string, known: KnownOrigin): void {
    if (!replica.isRunning) {
      return;
    }
    const { boot } = replica;
    replica.memory.record(stream, known);
    this.#options.time.schedule(WRITE_TIME, () => {
      if (replica.boot === boot) {
        replica.disk.record(stream, known);
      }
    });
  }

  #rank(stream: string): SimulatedReplica[] {
    return originReplicas.rank(stream, [...this.#replicas.keys()])
      .map((address) => this.#replicas.get(address)!);
  }

  #delay(): Milliseconds {
    return 0.5 + this.#options.random() * 2;
  }
}
