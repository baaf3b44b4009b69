import type { Milliseconds } from "@heroncleat/base";
import type { Arrival } from "./arrival.ts";
import type { Finding } from "./finding.ts";
import type { RequestOutcome } from "./soak_caller.ts";
import type { LeaveAcknowledged } from "./soak_upstream.ts";

/** Statuses that promise that a request has not run and never will. */
const PROMISES_NOT_RUN: readonly number[] = [408, 421, 429, 503];

/** Ends of upstreams under one request that are borne. */
const CRASHES_BORNE = 3;
/** Time after which all entries must know of the last one of these. */
const TOLD_WITHIN: Milliseconds = 3000;
/** Times that the request may reach upstreams after that. */
const SENDS_BORNE = 3;

/** What is known of a request that ends upstreams. */
type CrashingRequest = { readonly endedAt: Milliseconds[]; late: number };

/** What is known of the VMs at a time. */
type Surroundings = {
  /** Time for which an upstream that leaves goes on serving. */
  readonly drainTime: Milliseconds;
  /** Whether the replica at an operators' address was calm at a time. */
  readonly wasReplicaCalm: (address: string, at: Milliseconds) => boolean;
  /** Whether the entry on a host was calm at a time. */
  readonly wasEntryCalm: (host: string, at: Milliseconds) => boolean;
  /** What a reader of a finding wants to know of a host at a time. */
  readonly describe: (host: string, at: Milliseconds) => string;
};

/** What callers and upstreams saw, checked against what is promised. */
export class PromiseChecks {
  readonly #startedAt = performance.now();
  readonly #surroundings: Surroundings;
  readonly #findings: Finding[] = [];
  readonly #leaves = new Map<string, LeaveAcknowledged>();
  readonly #lateAt = new Set<string>();
  readonly #runs = new Map<string, Arrival[]>();
  readonly #refused = new Map<string, number>();
  readonly #crashing = new Map<string, CrashingRequest>();
  /** Latest arrival after an acknowledged leave, from calm entries or any. */
  latest = { calm: 0, any: 0 };
  leaves = 0;

  constructor(surroundings: Surroundings) {
    this.#surroundings = surroundings;
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }

  report(promise: Finding["promise"], text: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#findings.push({ promise, at, text });
  }

  noteLeave(leave: LeaveAcknowledged): void {
    this.#leaves.set(leave.upstream, leave);
    this.leaves += 1;
  }

  /** Notes that an upstream has ended under a request. */
  noteCrash(target: string): void {
    const known = this.#crashing.get(target) ?? { endedAt: [], late: 0 };
    known.endedAt.push(performance.now());
    this.#crashing.set(target, known);
  }

  /** How often upstreams ended under each of the requests that end them. */
  get crashes(): readonly number[] {
    return [...this.#crashing.values()].map(({ endedAt }) => endedAt.length);
  }

  /** Checks that a request that ends upstreams isn't sent on for long. */
  #noteCrashing({ target, from, at }: Arrival): void {
    const crashing = this.#crashing.get(target);
    const lastBorne = crashing?.endedAt[CRASHES_BORNE - 1];
    if (crashing === undefined || lastBorne === undefined) {
      return;
    }
    const after = at - lastBorne;
    if (after > TOLD_WITHIN && this.#surroundings.wasEntryCalm(from, at)) {
      crashing.late += 1;
      if (crashing.late === SENDS_BORNE + 1) {
        this.report(
          "crashing",
          `${target} still reaches upstreams ${Math.round(after)} ms after ` +
            `the third one ended under it; sent by ` +
            this.#surroundings.describe(from, at),
        );
      }
    }
  }

  /** Checks that nothing reaches an upstream that left long enough ago. */
  noteArrival(arrival: Arrival): void {
    this.#noteCrashing(arrival);
    const leave = this.#leaves.get(arrival.upstream);
    if (leave === undefined) {
      return;
    }
    const { drainTime, wasEntryCalm, wasReplicaCalm, describe } =
      this.#surroundings;
    const after = arrival.at - leave.at;
    this.latest.any = Math.max(this.latest.any, after);
    const isBound = wasReplicaCalm(leave.by, leave.at) &&
      wasEntryCalm(arrival.from, arrival.at);
    if (!isBound) {
      return;
    }
    this.latest.calm = Math.max(this.latest.calm, after);
    // The first of each pair tells it all.
    const pair = `${arrival.upstream} ${arrival.from}`;
    if (after > drainTime && !this.#lateAt.has(pair)) {
      this.#lateAt.add(pair);
      this.report(
        "leaving",
        `${arrival.upstream} was reached ${Math.round(after)} ms after ` +
          `${leave.by} acknowledged that it ${leave.manner}; sent by ` +
          `${describe(arrival.from, arrival.at)}; the replica: ` +
          describe(leave.by.split(":")[0]!, arrival.at),
      );
    }
  }

  /** Checks that what may run once does. */
  noteRun(arrival: Arrival): void {
    if (!arrival.isSingle) {
      return;
    }
    const runs = [...this.#runs.get(arrival.attempt) ?? [], arrival];
    this.#runs.set(arrival.attempt, runs);
    if (runs.length > 1) {
      const upstreams = runs.map(({ upstream }) => upstream).join(" and ");
      this.report("once", `${arrival.attempt} ran at ${upstreams}`);
    }
    const status = this.#refused.get(arrival.attempt);
    if (status !== undefined) {
      this.report("not_run", `${arrival.attempt} ran after a ${status}`);
    }
  }

  noteOutcome({ attempt, isSingle, status, problem }: RequestOutcome): void {
    if (problem !== undefined) {
      this.report("whole_answer", problem);
    }
    if (status >= 400 && status < 500 && !PROMISES_NOT_RUN.includes(status)) {
      this.report("rejected", `${attempt} was answered with ${status}`);
    }
    if (isSingle && PROMISES_NOT_RUN.includes(status)) {
      this.#refused.set(attempt, status);
      if (this.#runs.has(attempt)) {
        this.report("not_run", `${attempt} ran and was refused by ${status}`);
      }
    }
  }
}
