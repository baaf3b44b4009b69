import type { Milliseconds } from "@heroncleat/base";
import { CutChecks } from "./cut_checks.ts";
import type { StopLog } from "./stop_log.ts";
import { StreamChecks } from "./stream_checks.ts";
import { StatementChecks } from "./statement_checks.ts";
import { RateLimitChecks } from "./rate_limit_checks.ts";
import type { ReceivedRequest } from "./received_request.ts";
import type { Finding } from "./finding.ts";
import type { RequestOutcome } from "./soak_caller.ts";
import type { SoakUpstream } from "./soak_upstream.ts";
import { DrainChecks } from "./drain_checks.ts";
import { RunChecks } from "./run_checks.ts";

/** Statuses that guarantee that a request didn't run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];

/** Crashes after which a request must no longer be forwarded. */
const MAX_CRASHES = 3;
/** The same for requests with a part of a prompt, no two of which are alike. */
const MAX_CRASHES_OF_PART = 5;
/** Time within which all entries must have a record of the last crash. */
const SUSPECT_PROPAGATION_TIME: Milliseconds = 3000;
/** Requests that may still reach upstreams after that time. */
const MAX_LATE_REQUESTS = 3;

/** Record of a request that crashes upstreams. */
type CrashingRequest = {
  readonly crashedAt: Milliseconds[];
  lateCount: number;
};

/** Facts about the deployment that the checks depend on. */
type Environment = {
  /** Time for which a departing upstream may still receive requests. */
  readonly drainTime: Milliseconds;
  /** Whether the replica at an operator address was undisturbed at a time. */
  readonly wasReplicaUndisturbed: (
    address: string,
    at: Milliseconds,
  ) => boolean;
  /** Whether a host was undisturbed at a time, whatever the replicas did. */
  readonly wasHostUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Whether the entry on a host was undisturbed at a time. */
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  readonly areRatesLimited: () => boolean;
  /** When a host's entry was last started, stopped, frozen or resumed. */
  readonly interruptedAt: (host: string) => Milliseconds;
  readonly listUpstreams: (version: string) => readonly SoakUpstream[];
  /** Time for which a draining upstream must take resumed streams. */
  readonly resumableTime: Milliseconds;
  readonly wereLinksUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Time in which a request must be answered. */
  readonly requestTimeout: () => Milliseconds;
  readonly wereUpstreamsSilent: (
    from: Milliseconds,
    to: Milliseconds,
  ) => boolean;
  /** When a change of the configuration was last sent. */
  readonly documentChangedAt: () => Milliseconds;
  readonly findSignal: StopLog["findSignal"];
  readonly areAllAtRest: (since: Milliseconds) => boolean;
  /** Describes the state of a host at a time, for the text of a finding. */
  readonly describe: (host: string, at: Milliseconds) => string;
};

/** Checks what callers and upstreams observe against the guarantees. */
export class GuaranteeChecks {
  readonly #startedAt = performance.now();
  readonly #environment: Environment;
  readonly #findings: Finding[] = [];
  readonly #runs = new Map<string, ReceivedRequest[]>();
  readonly #refusals = new Map<string, number>();
  readonly #crashing = new Map<string, CrashingRequest>();

  readonly rateLimits: RateLimitChecks;
  readonly statements: StatementChecks;
  readonly cuts: CutChecks;
  readonly streams: StreamChecks;
  readonly drains: DrainChecks;
  readonly runs: RunChecks;

  constructor(environment: Environment) {
    this.#environment = environment;
    this.rateLimits = new RateLimitChecks({
      wasEntryUndisturbed: environment.wasHostUndisturbed,
      report: (text) => this.report("rate_limit", text),
    });
    this.statements = new StatementChecks({
      ...environment,
      report: (promise, text) => this.report(promise, text),
    });
    this.streams = new StreamChecks({
      wasEntryUndisturbed: environment.wasEntryUndisturbed,
      listUpstreams: environment.listUpstreams,
      resumableTime: environment.resumableTime,
      report: (promise, text) => this.report(promise, text),
    });
    this.drains = new DrainChecks({
      ...environment,
      report: (promise, text) => this.report(promise, text),
    });
    this.runs = new RunChecks({
      timeout: environment.requestTimeout,
      wasUndisturbed: (host, at) =>
        environment.wasHostUndisturbed(host, at) &&
        environment.wereLinksUndisturbed(host, at),
      wereSilent: environment.wereUpstreamsSilent,
      changedAt: environment.documentChangedAt,
      findSignal: environment.findSignal,
      report: (text) => this.report("cut_run", text),
    });
    this.cuts = new CutChecks({
      wasEntryUndisturbed: environment.wasEntryUndisturbed,
      areRatesLimited: environment.areRatesLimited,
      areAllAtRest: environment.areAllAtRest,
      report: (text) => this.report("cut_off", text),
    });
  }

  get findings(): readonly Finding[] {
    return this.#findings;
  }

  report(promise: Finding["promise"], text: string): void {
    const at = Math.round(performance.now() - this.#startedAt);
    this.#findings.push({ promise, at, text });
  }

  /**
   * Records that an upstream crashed while running a request.
   *
   * @param cause The path of the request, or a part of its prompt.
   */
  recordCrash(cause: string): void {
    const crashing = this.#crashing.get(cause) ??
      { crashedAt: [], lateCount: 0 };
    crashing.crashedAt.push(performance.now());
    this.#crashing.set(cause, crashing);
  }

  /** Upstreams that crashed since their rejections were last limited. */
  overloads = 0;

  /**
   * Records that an upstream crashed as it had to reject too much, by a request
   * of the entry on a host.
   */
  recordOverload(from: string): void {
    const { wasEntryUndisturbed } = this.#environment;
    this.overloads += wasEntryUndisturbed(from, performance.now()) ? 1 : 0;
  }

  /** Number of upstreams that each crashing request crashed. */
  get crashes(): readonly number[] {
    return [...this.#crashing.values()].map(({ crashedAt }) =>
      crashedAt.length
    );
  }

  /** Checks that entries soon stop forwarding a crashing request. */
  #checkCrashing({ target, crashCause, from, at }: ReceivedRequest): void {
    if (crashCause === undefined) {
      return;
    }
    const crashing = this.#crashing.get(crashCause);
    const maxCrashes = crashCause === target
      ? MAX_CRASHES
      : MAX_CRASHES_OF_PART;
    const lastAllowed = crashing?.crashedAt[maxCrashes - 1];
    if (crashing === undefined || lastAllowed === undefined) {
      return;
    }
    const after = at - lastAllowed;
    if (
      after > SUSPECT_PROPAGATION_TIME &&
      this.#environment.wasEntryUndisturbed(from, at)
    ) {
      crashing.lateCount += 1;
      if (crashing.lateCount === MAX_LATE_REQUESTS + 1) {
        this.report(
          "crashing",
          `${crashCause} is still received by upstreams ${
            Math.round(after)
          } ms after ` +
            `crash ${maxCrashes} of those that ran it; sent by ` +
            this.#environment.describe(from, at),
        );
      }
    }
  }

  checkReceived(received: ReceivedRequest): void {
    this.#checkCrashing(received);
    this.rateLimits.checkReceived(received);
    this.statements.checkReceived(received);
    this.drains.checkReceived(received);
  }

  /** Checks that a non-idempotent request runs at most once. */
  checkRun(received: ReceivedRequest): void {
    this.runs.recordRun(received);
    if (!received.isNonIdempotent) {
      return;
    }
    const runs = [...this.#runs.get(received.attempt) ?? [], received];
    this.#runs.set(received.attempt, runs);
    if (runs.length > 1) {
      const upstreams = runs.map(({ upstream }) => upstream).join(" and ");
      this.report("once", `${received.attempt} ran at ${upstreams}`);
    }
    const status = this.#refusals.get(received.attempt);
    if (status !== undefined) {
      this.report(
        "not_run",
        `${received.attempt} ran after it was refused with ${status}`,
      );
    }
  }

  checkOutcome(outcome: RequestOutcome): void {
    const { attempt, isNonIdempotent, status, problem } = outcome;
    this.cuts.recordOutcome(outcome);
    void this.runs.recordOutcome(outcome);
    if (problem !== undefined) {
      this.report("whole_answer", problem);
    }
    if (status >= 400 && status < 500 && !NOT_RUN_STATUSES.includes(status)) {
      this.report("rejected", `${attempt} was rejected with ${status}`);
    }
    if (isNonIdempotent && NOT_RUN_STATUSES.includes(status)) {
      this.#refusals.set(attempt, status);
      if (this.#runs.has(attempt)) {
        this.report("not_run", `${attempt} ran and was refused with ${status}`);
      }
    }
  }
}
