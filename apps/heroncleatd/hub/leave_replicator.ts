import type { Milliseconds } from "@heroncleat/base";
import { faultTolerance } from "@heroncleat/consensus";
import type { UpstreamRecord } from "@heroncleat/serving";

/**
 * Time for one call. A replica answers within some ms; one that is slower than
 * this counts as lost here, as another one may answer in its place.
 */
const CALL_TIMEOUT: Milliseconds = 300;
/**
 * Calls to a replica. The second one has a connection of its own where the
 * first one found the kept connection silent, and both end within the second
 * in which an upstream waits for its acknowledgement.
 */
const MOST_CALLS = 2;

/** What the replicator is built from. */
type ReplicatorOptions = {
  /** host:port of the group's members; undefined while there is no group. */
  readonly members: () => readonly string[] | undefined;
  readonly ownAddress: string;
  /** Members that may be lost at once. */
  readonly toleratedLosses: () => number;
  /** Keeps it on this replica's disk; rejects where that takes nothing. */
  readonly keep: (record: UpstreamRecord) => Promise<void>;
  /** Sends it to one member; rejects where it doesn't confirm in time. */
  readonly send: (
    member: string,
    record: UpstreamRecord,
    timeout: Milliseconds,
  ) => Promise<void>;
};

/** Which members know that an upstream leaves, and whether these suffice. */
export type ReplicatedLeave = {
  readonly knownBy: readonly string[];
  readonly isSafe: boolean;
  /** Whether it became safe just now. */
  readonly isNews: boolean;
};

/** How far the leave of one start is known. */
type Spread = {
  readonly state: UpstreamRecord["state"];
  /** Members that have it on their disks; this replica, too. */
  readonly knownBy: Set<string>;
  wasSafe: boolean;
};

/**
 * Makes sure that the word of an upstream that it leaves outlives the replica
 * that got it. An upstream may say so once; entries that haven't asked this
 * replica since would use it until it has been silent for seconds. So as many
 * members have it on disk as may be lost, and one more, before it is
 * acknowledged.
 */
export class LeaveReplicator {
  readonly #options: ReplicatorOptions;
  readonly #spreads = new Map<string, Spread>();

  constructor(options: ReplicatorOptions) {
    this.#options = options;
  }

  /**
   * Replicates to all members; resolves once enough of them know, or when none
   * of the others can be waited for any longer.
   */
  async replicate(record: UpstreamRecord): Promise<ReplicatedLeave> {
    const members = this.#options.members();
    if (members === undefined) {
      return { knownBy: [], isSafe: false, isNews: false };
    }
    const spread = this.#spreadOf(record);
    const isSafe = () => this.#isSafe(spread, members);
    const wasSafe = spread.wasSafe;
    const unaware = members.filter((member) => !spread.knownBy.has(member));
    if (!isSafe() && unaware.length > 0) {
      await new Promise<void>((resolve) => {
        let waiting = unaware.length;
        for (const member of unaware) {
          void this.#replicateTo(member, record, spread).then(() => {
            waiting -= 1;
            if (isSafe() || waiting === 0) {
              resolve();
            }
          });
        }
      });
    }
    spread.wasSafe ||= isSafe();
    const { knownBy } = spread;
    return { knownBy: [...knownBy], isSafe: isSafe(), isNews: !wasSafe };
  }

  /** Drops starts that are forgotten. */
  forget(isForgotten: (id: string) => boolean): void {
    for (const id of this.#spreads.keys()) {
      if (isForgotten(id)) {
        this.#spreads.delete(id);
      }
    }
  }

  #spreadOf({ id, state }: UpstreamRecord): Spread {
    const known = this.#spreads.get(id);
    if (known?.state === state) {
      return known;
    }
    const spread = { state, knownBy: new Set<string>(), wasSafe: false };
    this.#spreads.set(id, spread);
    return spread;
  }

  /** A replica that isn't a member yet is asked by nobody and doesn't count. */
  #isSafe({ knownBy }: Spread, members: readonly string[]): boolean {
    const needed = Math.min(
      faultTolerance.copies(this.#options.toleratedLosses()),
      members.length,
    );
    return knownBy.size >= needed;
  }

  async #replicateTo(
    member: string,
    record: UpstreamRecord,
    { knownBy }: Spread,
  ): Promise<void> {
    const { ownAddress, keep, send } = this.#options;
    for (let calls = 0; calls < MOST_CALLS; calls += 1) {
      try {
        await (member === ownAddress
          ? within(CALL_TIMEOUT, keep(record))
          : send(member, record, CALL_TIMEOUT));
        knownBy.add(member);
        return;
      } catch {
        // One that doesn't confirm isn't counted; the outcome is logged.
      }
    }
  }
}

/** Rejects where something takes too long, as a write to a disk that hangs. */
async function within(
  timeout: Milliseconds,
  promise: Promise<void>,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error("took too long")), timeout);
  });
  try {
    await Promise.race([promise, late]);
  } finally {
    clearTimeout(timer);
  }
}
