import { type Milliseconds, unreachable } from "@heroncleat/base";
import type { Rollout } from "./rollout.ts";
import { RolloutStage } from "./rollout_stage.ts";
import { versionSide } from "./version_side.ts";
import type { VersionedUpstream } from "./versioned_upstream.ts";

/**
 * Time for which upstreams of a version that is new to the entry get nothing
 * while others are there: news of a rollout may arrive after them, and at other
 * entries later.
 */
const NEW_VERSION_HOLD: Milliseconds = 1500;

/** Upstreams that a request may be sent to. @public */
export type UpstreamFilter = (upstream: VersionedUpstream) => boolean;

type AdmitOptions = {
  readonly now: Milliseconds;
  readonly upstreams: () => Iterable<VersionedUpstream>;
  /** Whether the request has been sent to an upstream before. */
  readonly isRetry: boolean;
  /** From 0 to 1. */
  readonly random: number;
};

/**
 * Decides at an entry which versions of a service a request may be sent to. The
 * shares of all entries add up to the share of the rollout, as each applies it
 * to its own requests.
 *
 * @public
 */
export class VersionGate {
  readonly #rollouts = new Map<string, Rollout>();
  /** When upstreams of a version were first seen, by service and version. */
  readonly #versions = new Map<string, Map<string, Milliseconds>>();
  /**
   * Versions that a completed rollout has ended, by service. Upstreams of later
   * versions may come without a rollout.
   */
  readonly #ended = new Map<string, ReadonlySet<string>>();
  #revision = 0;

  /** Number of the newest change that is known here. */
  get revision(): number {
    return this.#revision;
  }

  /** Merges rollouts that a replica sent, which may lag behind another one. */
  merge(rollouts: readonly Rollout[]): void {
    for (const rollout of rollouts) {
      const known = this.#rollouts.get(rollout.service);
      if (rollout.revision > (known?.revision ?? 0)) {
        this.#rollouts.set(rollout.service, rollout);
        this.#recordEnded(rollout);
        this.#revision = Math.max(this.#revision, rollout.revision);
      }
    }
  }

  get(service: string): Rollout | undefined {
    return this.#rollouts.get(service);
  }

  /** Records that upstreams of a version are there. */
  observe({ record }: VersionedUpstream, now: Milliseconds): void {
    const { service, version = "" } = record;
    const versions = this.#versions.get(service) ?? new Map();
    this.#versions.set(service, versions);
    if (!versions.has(version)) {
      versions.set(version, now);
    }
  }

  /**
   * Filters to apply one after the other until one of them finds an upstream.
   * Undefined admits all.
   */
  admit(
    service: string,
    options: AdmitOptions,
  ): readonly UpstreamFilter[] | undefined {
    const rollout = this.#rollouts.get(service);
    if (rollout === undefined) {
      return this.#admitKnownVersions(service, options.now);
    }
    const held = this.#heldVersions(service, options.now);
    const isAnyDestination = ({ record }: VersionedUpstream) =>
      versionSide(rollout, record.version) === "destination";
    const isDestination = (upstream: VersionedUpstream) =>
      isAnyDestination(upstream) && !held.has(upstream.record.version ?? "");
    const isOther = ({ record }: VersionedUpstream) =>
      versionSide(rollout, record.version) === "other";
    const isWarmDestination = (upstream: VersionedUpstream) =>
      isDestination(upstream) && upstream.record.isCold !== true;
    const isChosen = !options.isRetry && options.random < rollout.share;
    switch (rollout.stage) {
      case RolloutStage.reverted:
        return [isOther];
      case RolloutStage.canary:
        return isChosen
          ? [canaryFilter(rollout, { ...options, isDestination }), isOther]
          : [isOther];
      case RolloutStage.widened:
        return isChosen ? [isWarmDestination, isOther] : [isOther];
      case RolloutStage.full:
        return [isWarmDestination, isDestination, isOther, isAnyDestination];
      case RolloutStage.completed:
        return this.#admitAfter(rollout);
      default:
        return unreachable(rollout.stage);
    }
  }

  #recordEnded({ service, stage, destination }: Rollout): void {
    if (stage === RolloutStage.completed) {
      const ended = new Set(this.#versions.get(service)?.keys());
      ended.delete(destination);
      this.#ended.set(service, ended);
    }
  }

  /** Versions that a completed rollout has ended are the last resort. */
  #admitAfter(rollout: Rollout): readonly UpstreamFilter[] {
    const ended = this.#ended.get(rollout.service);
    const isAllowed = ({ record }: VersionedUpstream) =>
      versionSide(rollout, record.version) !== "rejected";
    return [
      (upstream) =>
        isAllowed(upstream) && !ended?.has(upstream.record.version ?? ""),
      isAllowed,
    ];
  }

  /**
   * Without a rollout all versions are equal, but for one that has just
   * appeared beside others.
   */
  #admitKnownVersions(
    service: string,
    now: Milliseconds,
  ): readonly UpstreamFilter[] | undefined {
    const held = this.#heldVersions(service, now);
    return held.size === 0 ? undefined : [
      ({ record }) => !held.has(record.version ?? ""),
      () => true,
    ];
  }

  /** Versions that have just appeared beside others. */
  #heldVersions(service: string, now: Milliseconds): ReadonlySet<string> {
    const versions = this.#versions.get(service) ?? new Map();
    const first = Math.min(...versions.values());
    const held = new Set<string>();
    for (const [version, seenAt] of versions) {
      if (seenAt > first && now - seenAt < NEW_VERSION_HOLD) {
        held.add(version);
      }
    }
    return held;
  }
}

/**
 * Admits few upstreams of the new version, so that each gets the load of an
 * upstream of the old one: faults may show under load only. All entries choose
 * the same ones.
 */
function canaryFilter(
  rollout: Rollout,
  { upstreams, isDestination }: AdmitOptions & {
    /** Whether an upstream runs the new version, and isn't held back. */
    isDestination: UpstreamFilter;
  },
): UpstreamFilter {
  const { service, share } = rollout;
  const candidates: string[] = [];
  let others = 0;
  for (const { record } of upstreams()) {
    if (record.service !== service || record.state !== "ready") {
      continue;
    }
    const side = versionSide(rollout, record.version);
    if (side === "other") {
      others += 1;
    } else if (side === "destination" && record.isCold !== true) {
      candidates.push(record.id);
    }
  }
  const count = Math.max(1, Math.ceil(share * others));
  const chosen = new Set(candidates.sort().slice(0, count));
  return (upstream) =>
    isDestination(upstream) && chosen.has(upstream.record.id);
}
