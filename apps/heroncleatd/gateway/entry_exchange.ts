import { type Clock, type Milliseconds, splitAddress } from "@heroncleat/base";
import {
  type CrashBook,
  type KnownEntry,
  packedDocument,
  RecentMaximum,
  type SharedState,
  type SyncReply,
  type SyncRequest,
  type UpdateSource,
  type UpstreamChoice,
  type UpstreamDirectory,
  type UpstreamRecord,
  type UsageCounts,
  type WorkspaceQuota,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { ChargeSync } from "./charge_sync.ts";
import type { CrashWatch } from "../common/crash_watch.ts";
import type { FeedPosition } from "./feed_position.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { UpstreamAgents } from "./upstream_agents.ts";

/** Time for which a number of entries counts when fewer are named. */
const ENTRY_COUNT_WINDOW: Milliseconds = 10_000;

/** What the exchange is built from. */
type ExchangeOptions = {
  readonly settings: () => GatewaySettings;
  /** Identifier of this process. */
  readonly boot: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly directory: UpstreamDirectory;
  readonly choice: UpstreamChoice;
  readonly agents: UpstreamAgents;
  readonly quota: WorkspaceQuota;
  readonly usage: UsageCounts;
  readonly charges: ChargeSync;
  readonly crashes: CrashWatch;
  readonly suspectRegistry: CrashBook;
  /** Whether callers may be sent here. */
  readonly isOpen: () => boolean;
  /** Version of the document in force; -1 for none. */
  readonly documentVersion: () => number;
  readonly onDocument: (source: string) => void;
  /** Entries that any control replica in reach names. */
  readonly listEntries: () => readonly KnownEntry[];
};

/**
 * What this entry reports to the control replicas, and what it does with their
 * replies.
 */
export class EntryExchange {
  readonly #options: ExchangeOptions;
  /** Open entries at the last reply, for when no control replica answers. */
  #entries: readonly KnownEntry[] = [];
  readonly #entryCount = new RecentMaximum(1, ENTRY_COUNT_WINDOW);
  #peers: readonly string[] = [];

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  /** How many entries share quotas and retries. */
  get entryCount(): number {
    return this.#entryCount.value;
  }

  /** Hosts of the others among them. */
  get peers(): readonly string[] {
    return this.#peers;
  }

  /** Entries of the last reply that still report their charges to this one. */
  listReachableEntries(): KnownEntry[] {
    const { settings, charges } = this.#options;
    const { name, address, zone, region } = settings();
    const others = this.#entries.filter((entry) =>
      entry.name !== name && charges.isReachable(entry.name)
    );
    return [{ name, address, zone, region }, ...others];
  }

  /** What one control replica is sent now. */
  createRequest(position: FeedPosition): SyncRequest {
    const {
      clock,
      boot,
      quota,
      choice,
      usage,
      charges,
      suspectRegistry,
    } = this.#options;
    const { name, address, zone, region } = this.#options.settings();
    return {
      entry: {
        name,
        address,
        zone,
        region,
        boot,
        isOpen: this.#options.isOpen(),
      },
      wall: clock.wall(),
      feed: position.feed,
      revision: position.revision,
      takesChanges: true,
      loadsSince: position.loadsSince,
      documentVersion: this.#options.documentVersion(),
      ...position.report.describe(position.feed, {
        spent: quota.spent(),
        readWork: choice.readWork(),
        usage: usage.list(),
      }),
      ...charges.buildRelayFields(position.feed),
      suspects: undefinedIfEmpty(
        suspectRegistry.changesSince(
          position.suspectsSentRevision,
          clock.steady(),
        ),
      ),
      readingSpeeds: choice.speeds.measured(),
      loads: position.isPrimary ? choice.loads(clock.steady()) : undefined,
    };
  }

  /** Takes a control replica's reply in. */
  applyReply(reply: SyncReply, from: string): void {
    const { clock, charges, onDocument } = this.#options;
    const now = clock.steady();
    const ages = reply.ages ?? {};
    for (const record of reply.upstreams) {
      const age = ages[record.id] ?? 0;
      this.#applyUpstream(record, now, { reporter: from, age });
    }
    if (reply.upstreams.length > 0) {
      this.#closeReplacedInstances();
    }
    this.#applyEntries(now);
    if (reply.document !== undefined) {
      onDocument(packedDocument.unpack(reply.document));
    }
    charges.applyReply(reply);
    this.#options.crashes.learn(reply.suspects ?? []);
    if (reply.shared !== undefined) {
      this.#applySharedState(reply.shared, { reporter: from, ages });
    }
  }

  /** Logs when an upstream begins to leave, to set beside the replicas' lines. */
  #applyUpstream(
    record: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource,
  ): void {
    const { directory, log } = this.#options;
    const outcome = directory.merge(record, now, source);
    if (outcome === "changed" && record.state !== "ready") {
      log.info(`Learns that an upstream is ${record.state}`, {
        upstream: record.id,
        by: source.reporter,
      });
    }
  }

  #applyEntries(now: Milliseconds): void {
    const entries = this.#options.listEntries();
    if (entries !== this.#entries) {
      this.#entries = entries;
      this.#peers = this.#hostsOf(entries);
    }
    this.#entryCount.note(entries.length, now);
  }

  /**
   * Ends what is under way at starts of upstreams that have started again: an
   * answer can't come any more, and a VM that went dark resets nothing. What
   * may be repeated or resumed goes on elsewhere at once.
   */
  #closeReplacedInstances(): void {
    const { directory, agents, choice, crashes, log } = this.#options;
    const isOver = (id: string) => directory.isOver(id);
    for (const id of agents.removeWhere(isOver)) {
      crashes.noteEnd(id);
      choice.forget(id);
      log.info("An upstream has started again", { upstream: id });
    }
  }

  #applySharedState(
    shared: SharedState,
    { reporter, ages }: {
      reporter: string;
      ages: Readonly<Record<string, Milliseconds>>;
    },
  ): void {
    const { clock, directory, choice } = this.#options;
    const now = clock.steady();
    for (const [id, sequence] of Object.entries(shared.beats)) {
      const age = ages[id] ?? 0;
      directory.refresh(id, now, { sequence, reporter, age });
    }
    if (shared.areLoadsPartial) {
      choice.learnChangedLoads(shared.loadsOfOthers, now);
    } else {
      choice.learnOthers(shared.loadsOfOthers, now);
    }
    choice.speeds.learn(shared.readingSpeeds);
  }

  #hostsOf(entries: readonly KnownEntry[]): string[] {
    const own = this.#options.settings().address;
    return entries.filter(({ address }) => address !== own)
      .map(({ address }) => splitAddress(address).host);
  }
}

/** Nothing is sent for an empty list. */
function undefinedIfEmpty<Item>(
  items: readonly Item[],
): readonly Item[] | undefined {
  return items.length > 0 ? items : undefined;
}
