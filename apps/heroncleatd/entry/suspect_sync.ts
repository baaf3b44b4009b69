import type { Milliseconds } from "@heroncleat/base";
import {
  type Announcement,
  checkEntryNotice,
  type MemberRecord,
  type SuspectNotice,
} from "@heroncleat/schema";
import {
  instanceId,
  type ReportedSuspect,
  RevisionCounter,
  SuspectRegistry,
} from "@heroncleat/serving";
import { CrashWatch } from "../common/crash_watch.ts";
import { probeUpstream } from "../common/probe_upstream.ts";
import type { ProcessContext } from "../common/process_context.ts";

/** Requests that one message names. */
const MAX_SUSPECTS_PER_MESSAGE = 50;
const FETCH_TIMEOUT: Milliseconds = 1000;

/**
 * Which requests upstreams ended under, as this entry saw it and as the others
 * tell. What is news is told to all of them at once; an entry that starts, or
 * that was cut off, asks each one that it finds alive.
 */
export class SuspectSync {
  readonly watcher: CrashWatch;
  readonly #context: ProcessContext;
  readonly #registry: SuspectRegistry;
  /** Incarnations of the upstreams that announce themselves, by name. */
  readonly #incarnations = new Map<string, number>();
  /** Those that have said that they leave, and end as they said. */
  readonly #departing = new Set<string>();
  /** Their starts. */
  readonly #runningInstances = new Set<string>();
  #aliveMembers = new Map<string, MemberRecord>();

  constructor(context: ProcessContext) {
    const { clock, metrics } = context;
    this.#context = context;
    this.#registry = new SuspectRegistry({
      revisions: new RevisionCounter(),
      // Those of other services make rejections later, never wrong.
      countUpstreams: () => this.#incarnations.size,
    });
    this.watcher = new CrashWatch({
      book: this.#registry,
      clock,
      log: context.log("crashes"),
      metrics,
      probe: probeUpstream,
      isOver: (instance) => !this.#runningInstances.has(instance),
      // The router leaves upstreams alone that fail.
      onEnd: () => {},
      report: (changed) =>
        this.#send([...this.#aliveMembers.values()], changed),
    });
    context.serve({
      "entry.suspects": (parameters) => this.#receive(parameters),
      "entry.known_suspects": () =>
        this.#registry.changesSince(0, clock.steady()),
    });
  }

  /** The identity of the present start of an upstream. */
  instanceIdOf(name: string): string {
    return instanceId(name, this.#incarnations.get(name));
  }

  isDeparting(name: string): boolean {
    return this.#departing.has(name);
  }

  /** Takes an announcement in; a later incarnation ends the one before. */
  recordAnnouncement({ name, incarnation, state }: Announcement): void {
    if (state === "leaving") {
      this.#departing.add(name);
    } else {
      this.#departing.delete(name);
    }
    const previousIncarnation = this.#incarnations.get(name);
    if (
      previousIncarnation === undefined || incarnation > previousIncarnation
    ) {
      const previousInstance = this.instanceIdOf(name);
      this.#incarnations.set(name, incarnation);
      this.#runningInstances.add(this.instanceIdOf(name));
      if (previousIncarnation !== undefined) {
        this.#runningInstances.delete(previousInstance);
        this.watcher.noteEnd(previousInstance);
      }
    }
  }

  recordLapse(name: string): void {
    this.#runningInstances.delete(this.instanceIdOf(name));
    this.#incarnations.delete(name);
    this.#departing.delete(name);
  }

  /** Takes in which entries there are, and asks those that are new. */
  updateMembers(members: readonly MemberRecord[]): void {
    const { name } = this.#context.settings.daemon;
    const aliveMembers = new Map<string, MemberRecord>();
    for (const member of members) {
      if (member.state !== "alive" || member.name === name) {
        continue;
      }
      aliveMembers.set(member.name, member);
      if (!this.#aliveMembers.has(member.name)) {
        void this.#exchangeWith(member);
      }
    }
    this.#aliveMembers = aliveMembers;
  }

  /** Forgets what is remembered for long enough. */
  expire(): void {
    this.watcher.expire();
  }

  #receive(parameters: unknown): void {
    const notice = { kind: "suspects", ...(parameters as object) };
    if (checkEntryNotice(notice)) {
      this.watcher.learn((notice as SuspectNotice).suspects);
    }
  }

  #send(
    members: readonly MemberRecord[],
    suspects: readonly ReportedSuspect[],
  ): void {
    for (
      let offset = 0;
      offset < suspects.length;
      offset += MAX_SUSPECTS_PER_MESSAGE
    ) {
      const batch = suspects.slice(offset, offset + MAX_SUSPECTS_PER_MESSAGE);
      for (const { address } of members) {
        this.#context.pool.notify(address, "entry.suspects", {
          suspects: batch,
        });
      }
    }
  }

  /** Both sides then know what either knew. */
  async #exchangeWith(member: MemberRecord): Promise<void> {
    const { pool, clock, log } = this.#context;
    try {
      const suspects = await pool.call(member.address, "entry.known_suspects", {
        parameters: {},
        timeout: FETCH_TIMEOUT,
      }) as readonly ReportedSuspect[];
      for (
        let offset = 0;
        offset < suspects.length;
        offset += MAX_SUSPECTS_PER_MESSAGE
      ) {
        this.#receive({
          suspects: suspects.slice(offset, offset + MAX_SUSPECTS_PER_MESSAGE),
        });
      }
    } catch (error) {
      log("crashes").warn(
        `Entry ${member.name} doesn't say which requests end upstreams`,
        { error: String(error) },
      );
    }
    this.#send([member], this.#registry.changesSince(0, clock.steady()));
  }
}
