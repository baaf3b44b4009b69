import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { SoakDeployment } from "./soak_deployment.ts";
import type { Finding } from "./finding.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import { controlFaultScenarios } from "./control_fault_scenarios.ts";
import { randomDuration } from "./random_duration.ts";
import { pause } from "./pause.ts";
import { backgroundFaultScenarios } from "./background_fault_scenarios.ts";

/** Time without another loss in the core, so that one is lost at once. */
const CATCH_UP: Milliseconds = 4500;
/** Pause between troubles beside those of the core. */
const SIDE_PAUSE = { min: 300, spread: 1500 };
/** Calm time at the end in which everything must be served again. */
const RECOVERY_TIME: Milliseconds = 8000;
const MEASURED_TIME: Milliseconds = 4000;
/** Part of the requests that must be served then. */
const SERVED_AFTER = 0.95;

/** Series of random numbers for each seed. */
const STREAMS = 16;
/** An odd number with its bits mixed: 2^32 divided by the golden ratio. */
const SPREAD = 0x9e3779b1;

/** What a soak came to. @public */
export type SoakReport = {
  readonly seed: number;
  readonly findings: readonly Finding[];
  /** Troubles that were played, by name. */
  readonly troubles: Readonly<Record<string, number>>;
  readonly leaves: number;
  /** Latest request after an acknowledged leave: from calm VMs, from any. */
  readonly latest: { readonly undisturbed: number; readonly any: number };
  /** Upstreams that ended under each request that ends them. */
  readonly crashes: readonly number[];
  /** Requests by status; 0 where no whole answer came. */
  readonly outcomes: Readonly<Record<string, number>>;
};

/**
 * Runs a deployment of real processes, disturbs it for a time, and checks from
 * what callers and upstreams see that its promises hold.
 *
 * Which troubles come follows from the seed; on whom and when exactly they
 * strike depends on the machine, so a seed that fails may need several runs to
 * fail again.
 *
 * @public
 */
export async function runSoak(options: {
  seed: number;
  duration: Milliseconds;
  adapter: ProgramAdapter;
  folder: string;
  /** Number among the soaks that run at once; each uses other addresses. */
  slot: number;
  /** Ends it early; what was seen until then is reported. */
  signal: AbortSignal;
}): Promise<SoakReport> {
  const random = streamOf(options.seed, 0);
  const deployment = new SoakDeployment({ ...options, random });
  const played: Record<string, number> = {};
  const over = new AbortController();
  try {
    await Promise.race([
      play(deployment, options, played),
      aborted(options, over.signal),
    ]);
  } finally {
    over.abort();
    await deployment.stop();
  }
  const { findings, leaves, latest, crashes } = deployment.checks;
  return {
    seed: options.seed,
    findings,
    troubles: played,
    leaves,
    crashes,
    latest: {
      undisturbed: Math.round(latest.undisturbed),
      any: Math.round(latest.any),
    },
    outcomes: Object.fromEntries(deployment.outcomes),
  };
}

async function play(
  deployment: SoakDeployment,
  { duration, seed }: { duration: Milliseconds; seed: number },
  played: Record<string, number>,
): Promise<void> {
  await deployment.start();
  const until = performance.now() + duration;
  const note = (name: string) => played[name] = (played[name] ?? 0) + 1;
  await Promise.all([
    disturbCore(deployment, { until, note, random: streamOf(seed, 1) }),
    disturbBeside(deployment, { until, note, random: streamOf(seed, 2) }),
  ]);
  await pause(RECOVERY_TIME);
  await checkServed(deployment);
  await deployment.checkDocument();
}

/**
 * One of several independent series of random numbers of a seed. Neighbouring
 * seeds would begin with nearly the same numbers, so they are spread.
 */
function streamOf(seed: number, stream: number): Random {
  return createSeededRandom(Math.imul(seed * STREAMS + stream, SPREAD));
}

/** Resolves when a soak is told to stop, unless it is over before. */
function aborted(
  { signal }: { signal: AbortSignal },
  over: AbortSignal,
): Promise<void> {
  return new Promise((resolve) => {
    const options = { once: true, signal: over };
    signal.addEventListener("abort", () => resolve(), options);
  });
}

type TroubleOptions = {
  until: Milliseconds;
  note: (name: string) => void;
  /** Of its own, so that the series follows from the seed. */
  random: Random;
};

async function disturbCore(
  deployment: SoakDeployment,
  { until, note, random }: TroubleOptions,
): Promise<void> {
  while (performance.now() < until) {
    const at = Math.floor(random() * controlFaultScenarios.length);
    note(controlFaultScenarios[at]!.name);
    await controlFaultScenarios[at]!(deployment, random);
    await pause(CATCH_UP);
  }
}

async function disturbBeside(
  deployment: SoakDeployment,
  { until, note, random }: TroubleOptions,
): Promise<void> {
  const underWay: Promise<void>[] = [];
  while (performance.now() < until) {
    const at = Math.floor(random() * backgroundFaultScenarios.length);
    note(backgroundFaultScenarios[at]!.name);
    underWay.push(backgroundFaultScenarios[at]!(deployment, random));
    await pause(randomDuration(random, SIDE_PAUSE));
  }
  await Promise.all(underWay);
}

async function checkServed(deployment: SoakDeployment): Promise<void> {
  const before = new Map(deployment.outcomes);
  await pause(MEASURED_TIME);
  let all = 0;
  let served = 0;
  for (const [status, count] of deployment.outcomes) {
    const since = count - (before.get(status) ?? 0);
    all += since;
    served += status === 200 ? since : 0;
  }
  if (all === 0 || served < SERVED_AFTER * all) {
    deployment.checks.report(
      "recovery",
      `${served} of ${all} requests were served in the calm at the end`,
    );
  }
}
