import type { Milliseconds } from "@heroncleat/base";
import { faultTolerance } from "@heroncleat/consensus";
import type { UpstreamRecord } from "@heroncleat/serving";

/**
 * Timeout of one call. A slower member is treated as failed, as another one may
 * confirm in its place.
 */
const CALL_TIMEOUT: Milliseconds = 300;
/**
 * Calls to one member. The second call opens a new connection if the kept one
 * is dead. Both fit into the second that an upstream waits for the
 * acknowledgement.
 */
const MAX_ATTEMPTS = 2;

type ReplicatorOptions = {
  /** host:port of the group's members; undefined while there is no group. */
  readonly members: () => readonly string[] | undefined;
  readonly ownAddress: string;
  /** Number of members that may be lost at once. */
  readonly toleratedLosses: () => number;
  /** Writes the record to this replica's disk; rejects if the write fails. */
  readonly persist: (record: UpstreamRecord) => Promise<void>;
  /**
   * Sends the record to a member; rejects if the member doesn't confirm in
   * time.
   */
  readonly send: (
    member: string,
    record: UpstreamRecord,
    timeout: Milliseconds,
  ) => Promise<void>;
};

/** Which members have stored a departure, and whether they are enough. */
export type ReplicatedDeparture = {
  readonly storedBy: readonly string[];
  readonly isDurable: boolean;
  /** Whether this call made the departure durable. */
  readonly isNewlyDurable: boolean;
};

/** Replication state of the departure of one upstream instance. */
type ReplicationProgress = {
  readonly state: UpstreamRecord["state"];
  /** Members that have the record on disk, which may include this replica. */
  readonly storedBy: Set<string>;
  wasDurable: boolean;
};

/**
 * Makes the departure of an upstream durable before it is acknowledged: it must
 * be on the disks of one member more than may be lost at once, as an upstream may
 * report it only once.
 */
export class DepartureReplicator {
  readonly #options: ReplicatorOptions;
  readonly #progressById = new Map<string, ReplicationProgress>();

  constructor(options: ReplicatorOptions) {
    this.#options = options;
  }

  /**
   * Replicates the record to all members. Resolves once enough of them have
   * stored it, or once every call has succeeded or failed.
   */
  async replicate(record: UpstreamRecord): Promise<ReplicatedDeparture> {
    const members = this.#options.members();
    if (members === undefined) {
      return { storedBy: [], isDurable: false, isNewlyDurable: false };
    }
    const progress = this.#getOrCreateProgress(record);
    const isDurable = () => this.#isDurable(progress, members);
    const wasDurable = progress.wasDurable;
    const missing = members.filter((member) => !progress.storedBy.has(member));
    if (!isDurable() && missing.length > 0) {
      await new Promise<void>((resolve) => {
        let pendingCount = missing.length;
        for (const member of missing) {
          void this.#replicateTo(member, record, progress).then(() => {
            pendingCount -= 1;
            if (isDurable() || pendingCount === 0) {
              resolve();
            }
          });
        }
      });
    }
    progress.wasDurable ||= isDurable();
    const { storedBy } = progress;
    return {
      storedBy: [...storedBy],
      isDurable: isDurable(),
      isNewlyDurable: !wasDurable,
    };
  }

  /** Drops the state of expired upstream instances. */
  expire(isExpired: (id: string) => boolean): void {
    for (const id of this.#progressById.keys()) {
      if (isExpired(id)) {
        this.#progressById.delete(id);
      }
    }
  }

  #getOrCreateProgress({ id, state }: UpstreamRecord): ReplicationProgress {
    const existing = this.#progressById.get(id);
    if (existing?.state === state) {
      return existing;
    }
    const progress = { state, storedBy: new Set<string>(), wasDurable: false };
    this.#progressById.set(id, progress);
    return progress;
  }

  /**
   * Only copies on members count: no other process reads from a replica that
   * isn't a member.
   */
  #isDurable(
    { storedBy }: ReplicationProgress,
    members: readonly string[],
  ): boolean {
    const requiredCopies = Math.min(
      faultTolerance.copies(this.#options.toleratedLosses()),
      members.length,
    );
    return storedBy.size >= requiredCopies;
  }

  async #replicateTo(
    member: string,
    record: UpstreamRecord,
    { storedBy }: ReplicationProgress,
  ): Promise<void> {
    const { ownAddress, persist, send } = this.#options;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      try {
        await (member === ownAddress
          ? withTimeout(CALL_TIMEOUT, persist(record))
          : send(member, record, CALL_TIMEOUT));
        storedBy.add(member);
        return;
      } catch {
        // A member that doesn't confirm isn't counted; the caller logs the
        // outcome.
      }
    }
  }
}

/**
 * Rejects if the promise doesn't settle in time, for example because a disk
 * write hangs.
 */
async function withTimeout(
  timeout: Milliseconds,
  promise: Promise<void>,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timedOut = new Promise<never>((_, reject) => {
    timer = setTimeout(() => reject(new Error("timed out")), timeout);
  });
  try {
    await Promise.race([promise, timedOut]);
  } finally {
    clearTimeout(timer);
  }
}
