import type { Clock, Milliseconds } from "@heroncleat/base";
import type {
  FoundingView,
  HoldRequest,
  RegisterRequest,
  ReplicaMember,
} from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import { decideFounding } from "./decide_founding.ts";

const ASK_PAUSE: Milliseconds = 200;
/** Rounds between lines in the log while nothing is decided. */
const LOG_ROUNDS = 25;
/**
 * Time for which all seeds answer before a group is founded with fewer members
 * than the promised losses take; VMs start within tenths of a second.
 */
const FOUNDING_PATIENCE: Milliseconds = 4000;

/** What joining a group needs. */
type JoinOptions = {
  readonly self: ReplicaMember;
  /** Peer addresses of the seeds; they may change. */
  readonly seeds: () => readonly string[];
  readonly mayFound: boolean;
  readonly wantedFounders: number;
  readonly clock: Clock;
  readonly log: Log;
  /** Asks a seed, this process too; rejects where it doesn't answer. */
  readonly register: (
    seed: string,
    request: RegisterRequest,
  ) => Promise<FoundingView>;
  readonly hold: (seed: string, request: HoldRequest) => Promise<FoundingView>;
};

/**
 * Finds the group there is, or founds it with the other replicas by way of the
 * seeds, which may have no disk.
 *
 * @returns The members the group was formed with.
 */
export async function joinGroup(
  options: JoinOptions,
): Promise<readonly ReplicaMember[]> {
  const { clock, log, mayFound, wantedFounders } = options;
  let answeredSince: Milliseconds | undefined;
  for (let round = 0;; round += 1) {
    const seeds = [...options.seeds()].sort();
    const views = await askAll(seeds, options);
    const isAnswered = views.every((view) => view !== undefined);
    answeredSince = isAnswered ? answeredSince ?? clock.steady() : undefined;
    const isOverdue = answeredSince !== undefined &&
      clock.steady() - answeredSince >= FOUNDING_PATIENCE;
    const decision = decideFounding(views, {
      mayFound,
      wantedFounders,
      isOverdue,
    });
    if (decision.kind === "join") {
      log.info("Joins the group", { founders: namesOf(decision.founders) });
      return decision.founders;
    }
    if (
      decision.kind === "propose" &&
      await holdAtAll(decision.founders, { seeds, views, hold: options.hold })
    ) {
      log.info("The group is founded", {
        founders: namesOf(decision.founders),
      });
      return decision.founders;
    }
    if (round % LOG_ROUNDS === 0) {
      log.info("Waits for the seeds and for enough replicas", {
        seeds: seeds.length,
        answered: views.filter((view) => view !== undefined).length,
        wanted: wantedFounders,
      });
    }
    await new Promise((resolve) => setTimeout(resolve, ASK_PAUSE));
  }
}

async function askAll(
  seeds: readonly string[],
  { self, register }: JoinOptions,
): Promise<(FoundingView | undefined)[]> {
  const request = { member: self, founders: [], members: [] };
  const asked = await Promise.allSettled(
    seeds.map((seed) => register(seed, request)),
  );
  return asked.map((result) =>
    result.status === "fulfilled" ? result.value : undefined
  );
}

/** Whether all seeds hold the proposal, one asked after the other. */
async function holdAtAll(
  founders: readonly ReplicaMember[],
  { seeds, views, hold }: {
    seeds: readonly string[];
    views: readonly (FoundingView | undefined)[];
    hold: JoinOptions["hold"];
  },
): Promise<boolean> {
  for (const [at, seed] of seeds.entries()) {
    const isHeldAfter = views.slice(at + 1).some((view) =>
      view !== undefined && isSame(view.founders, founders)
    );
    try {
      const request = { founders: [...founders], isHeldAfter };
      const held = await hold(seed, request);
      if (!isSame(held.founders, founders)) {
        return false;
      }
    } catch {
      // The next round asks again.
      return false;
    }
  }
  return true;
}

function isSame(
  left: readonly ReplicaMember[],
  right: readonly ReplicaMember[],
): boolean {
  return idsOf(left) === idsOf(right);
}

function idsOf(members: readonly ReplicaMember[]): string {
  return members.map(({ id }) => id).sort().join(" ");
}

function namesOf(members: readonly ReplicaMember[]): string {
  return members.map(({ name }) => name).join(", ");
}
