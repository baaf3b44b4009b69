import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRequest } from "./received_request.ts";
import type { Finding } from "./finding.ts";
import type { RequestOutcome } from "./soak_caller.ts";
import type { AcknowledgedDeparture } from "./soak_upstream.ts";

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Ends of upstreams under one request that are borne. */
const MAX_CRASHES = 3;
/** Time after which all entries must know of the last one of these. */
const SUSPECT_PROPAGATION_TIME: Milliseconds = 3000;
/** Times that the request may reach upstreams after that. */
const MAX_LATE_REQUESTS = 3;

/** What is known of a request that ends upstreams. */
type CrashingRequest = {
  readonly crashedAt: Milliseconds[];
  lateCount: number;
};

/** What is known of the VMs at a time. */
type Environment = {
  /** Time for which an upstream that leaves goes on serving. */
  readonly drainTime: Milliseconds;
  /** Whether the replica at an operators' address was calm at a time. */
  readonly wasReplicaUndisturbed: (
    address: string,
    at: Milliseconds,
  ) => boolean;
  /** Whether the entry on a host was calm at a time. */
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** What a reader of a finding wants to know of a host at a time. */
  readonly describe: (host: string, at: Milliseconds) => string;
};

/** What callers and upstreams saw, checked against what is promised. */
export class GuaranteeChecks {
  readonly #startedAt = performance.now();
  readonly #environment: Environment;
  readonly #findings: Finding[] = [];
  readonly #departures = new Map<string, AcknowledgedDeparture>();
  readonly #reportedPairs = new Set<string>();
  readonly #runs = new Map<string, ReceivedRequest[]>();
  readonly #refusals = new Map<string, number>();
  readonly #crashing = new Map<string, CrashingRequest>();
  /** Latest arrival after an acknowledged leave, from calm entries or any. */
  latest = { undisturbed: 0, any: 0 };
  leaves = 0;

  constructor(environment: Environment) {
    this.#environment = environment;
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }

  report(promise: Finding["promise"], text: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#findings.push({ promise, at, text });
  }

  recordDeparture(leave: AcknowledgedDeparture): void {
    this.#departures.set(leave.upstream, leave);
    this.leaves += 1;
  }

  /** Notes that an upstream has ended under a request. */
  recordCrash(target: string): void {
    const known = this.#crashing.get(target) ?? { crashedAt: [], lateCount: 0 };
    known.crashedAt.push(performance.now());
    this.#crashing.set(target, known);
  }

  /** How often upstreams ended under each of the requests that end them. */
  get crashes(): readonly number[] {
    return [...this.#crashing.values()].map(({ crashedAt }) =>
      crashedAt.length
    );
  }

  /** Checks that a request that ends upstreams isn't sent on for long. */
  #checkCrashing({ target, from, at }: ReceivedRequest): void {
    const crashing = this.#crashing.get(target);
    const lastBorne = crashing?.crashedAt[MAX_CRASHES - 1];
    if (crashing === undefined || lastBorne === undefined) {
      return;
    }
    const after = at - lastBorne;
    if (
      after > SUSPECT_PROPAGATION_TIME &&
      this.#environment.wasEntryUndisturbed(from, at)
    ) {
      crashing.lateCount += 1;
      if (crashing.lateCount === MAX_LATE_REQUESTS + 1) {
        this.report(
          "crashing",
          `${target} still reaches upstreams ${Math.round(after)} ms after ` +
            `the third one ended under it; sent by ` +
            this.#environment.describe(from, at),
        );
      }
    }
  }

  /** Checks that nothing reaches an upstream that left long enough ago. */
  checkReceived(arrival: ReceivedRequest): void {
    this.#checkCrashing(arrival);
    const leave = this.#departures.get(arrival.upstream);
    if (leave === undefined) {
      return;
    }
    const { drainTime, wasEntryUndisturbed, wasReplicaUndisturbed, describe } =
      this.#environment;
    const after = arrival.at - leave.at;
    this.latest.any = Math.max(this.latest.any, after);
    const isBound = wasReplicaUndisturbed(leave.by, leave.at) &&
      wasEntryUndisturbed(arrival.from, arrival.at);
    if (!isBound) {
      return;
    }
    this.latest.undisturbed = Math.max(this.latest.undisturbed, after);
    // The first of each pair tells it all.
    const pair = `${arrival.upstream} ${arrival.from}`;
    if (after > drainTime && !this.#reportedPairs.has(pair)) {
      this.#reportedPairs.add(pair);
      this.report(
        "leaving",
        `${arrival.upstream} was reached ${Math.round(after)} ms after ` +
          `${leave.by} acknowledged that it ${leave.mode}; sent by ` +
          `${describe(arrival.from, arrival.at)}; the replica: ` +
          describe(leave.by.split(":")[0]!, arrival.at),
      );
    }
  }

  /** Checks that what may run once does. */
  checkRun(arrival: ReceivedRequest): void {
    if (!arrival.isNonIdempotent) {
      return;
    }
    const runs = [...this.#runs.get(arrival.attempt) ?? [], arrival];
    this.#runs.set(arrival.attempt, runs);
    if (runs.length > 1) {
      const upstreams = runs.map(({ upstream }) => upstream).join(" and ");
      this.report("once", `${arrival.attempt} ran at ${upstreams}`);
    }
    const status = this.#refusals.get(arrival.attempt);
    if (status !== undefined) {
      this.report("not_run", `${arrival.attempt} ran after a ${status}`);
    }
  }

  checkOutcome(
    { attempt, isNonIdempotent, status, problem }: RequestOutcome,
  ): void {
    if (problem !== undefined) {
      this.report("whole_answer", problem);
    }
    if (status >= 400 && status < 500 && !NOT_RUN_STATUSES.includes(status)) {
      this.report("rejected", `${attempt} was answered with ${status}`);
    }
    if (isNonIdempotent && NOT_RUN_STATUSES.includes(status)) {
      this.#refusals.set(attempt, status);
      if (this.#runs.has(attempt)) {
        this.report("not_run", `${attempt} ran and was refused by ${status}`);
      }
    }
  }
}
