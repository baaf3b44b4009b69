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
import { SuspectWatcher } from "../common/suspect_watcher.ts";
import { probeUpstream } from "../common/probe_upstream.ts";
import type { ProcessContext } from "../common/process_context.ts";

/** Requests that one message names. */
const MOST_IN_MESSAGE = 50;
const ASK_TIMEOUT: Milliseconds = 1000;

/**
 * Which requests upstreams ended under, as this entry saw it and as the others
 * tell. What is news is told to all of them at once; an entry that starts, or
 * that was cut off, asks each one that it finds alive.
 */
export class CrashSharing {
  readonly watch: SuspectWatcher;
  readonly #context: ProcessContext;
  readonly #book: SuspectRegistry;
  /** Incarnations of the upstreams that announce themselves, by name. */
  readonly #upstreams = new Map<string, number>();
  /** Those that have said that they leave, and end as they said. */
  readonly #leaving = new Set<string>();
  /** Their starts. */
  readonly #living = new Set<string>();
  #alive = new Map<string, MemberRecord>();

  constructor(context: ProcessContext) {
    const { clock, metrics } = context;
    this.#context = context;
    this.#book = new SuspectRegistry({
      revisions: new RevisionCounter(),
      // Those of other services make rejections later, never wrong.
      countUpstreams: () => this.#upstreams.size,
    });
    this.watch = new SuspectWatcher({
      registry: this.#book,
      clock,
      log: context.log("crashes"),
      metrics,
      probe: probeUpstream,
      isReplaced: (start) => !this.#living.has(start),
      // The router leaves upstreams alone that fail.
      onCrash: () => {},
      report: (news) => this.#tell([...this.#alive.values()], news),
    });
    context.serve({
      "entry.suspects": (parameters) => this.#receive(parameters),
      "entry.known_suspects": () => this.#book.changesSince(0, clock.steady()),
    });
  }

  /** The identity of the present start of an upstream. */
  startOf(name: string): string {
    return instanceId(name, this.#upstreams.get(name));
  }

  isLeaving(name: string): boolean {
    return this.#leaving.has(name);
  }

  /** Takes an announcement in; a later incarnation ends the one before. */
  noteUpstream({ name, incarnation, state }: Announcement): void {
    if (state === "leaving") {
      this.#leaving.add(name);
    } else {
      this.#leaving.delete(name);
    }
    const before = this.#upstreams.get(name);
    if (before === undefined || incarnation > before) {
      const ended = this.startOf(name);
      this.#upstreams.set(name, incarnation);
      this.#living.add(this.startOf(name));
      if (before !== undefined) {
        this.#living.delete(ended);
        this.watch.recordCrash(ended);
      }
    }
  }

  noteLapse(name: string): void {
    this.#living.delete(this.startOf(name));
    this.#upstreams.delete(name);
    this.#leaving.delete(name);
  }

  /** Takes in which entries there are, and asks those that are new. */
  noteMembers(members: readonly MemberRecord[]): void {
    const { name } = this.#context.settings.daemon;
    const alive = new Map<string, MemberRecord>();
    for (const member of members) {
      if (member.state !== "alive" || member.name === name) {
        continue;
      }
      alive.set(member.name, member);
      if (!this.#alive.has(member.name)) {
        void this.#ask(member);
      }
    }
    this.#alive = alive;
  }

  /** Forgets what is remembered for long enough. */
  expire(): void {
    this.watch.expire();
  }

  #receive(parameters: unknown): void {
    const notice = { kind: "suspects", ...(parameters as object) };
    if (checkEntryNotice(notice)) {
      this.watch.mergeReports((notice as SuspectNotice).suspects);
    }
  }

  #tell(
    members: readonly MemberRecord[],
    suspects: readonly ReportedSuspect[],
  ): void {
    for (let at = 0; at < suspects.length; at += MOST_IN_MESSAGE) {
      const told = suspects.slice(at, at + MOST_IN_MESSAGE);
      for (const { address } of members) {
        this.#context.pool.notify(address, "entry.suspects", {
          suspects: told,
        });
      }
    }
  }

  /** Both sides then know what either knew. */
  async #ask(member: MemberRecord): Promise<void> {
    const { pool, clock, log } = this.#context;
    try {
      const suspects = await pool.call(member.address, "entry.known_suspects", {
        parameters: {},
        timeout: ASK_TIMEOUT,
      }) as readonly ReportedSuspect[];
      for (let at = 0; at < suspects.length; at += MOST_IN_MESSAGE) {
        this.#receive({ suspects: suspects.slice(at, at + MOST_IN_MESSAGE) });
      }
    } catch (error) {
      log("crashes").warn(
        `Entry ${member.name} doesn't say which requests end upstreams`,
        { error: String(error) },
      );
    }
    this.#tell([member], this.#book.changesSince(0, clock.steady()));
  }
}
