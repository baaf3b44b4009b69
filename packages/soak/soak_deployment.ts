import type { Milliseconds, Random } from "@heroncleat/base";
import { DisturbanceLog } from "./disturbance_log.ts";
import { areRequestsServed } from "./are_requests_served.ts";
import { CrashingRequests } from "./crashing_requests.ts";
import { LinkProxy } from "./link_proxy.ts";
import { Machine } from "./machine.ts";
import { GuaranteeChecks } from "./guarantee_checks.ts";
import { SoakCaller } from "./soak_caller.ts";
import { SoakUpstream } from "./soak_upstream.ts";
import { MemoryWatch } from "./memory_watch.ts";
import { RequestTally } from "./request_tally.ts";
import { StopLog } from "./stop_log.ts";
import { waitForService } from "./wait_for_service.ts";
import { describeEntry } from "./describe_entry.ts";
import type { FaultMode } from "./fault_mode.ts";
import { DocumentPublisher } from "./document_publisher.ts";
import { StallLog } from "./stall_log.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

/** Time without faults after which time bounds are checked for a VM. */
const UNDISTURBED_TIME: Milliseconds = 3000;
/** Time for which an upstream may be used after an acknowledged departure. */
const DRAIN_TIME: Milliseconds = 2000;
/**
 * The same for resumed streams that must go on there: less the time until
 * entries know, that of a request on its way, and a margin.
 */
const RESUMABLE_TIME: Milliseconds = 1250;
/** Delay until callers, operators and upstreams see a change of the VMs. */
const DISCOVERY_LAG: Milliseconds = 1500;
/** The first one runs a replica, the others are proxies. */
const CONTROLS_PER_ZONE = 2;
const UPSTREAMS_PER_ZONE = 2;
const CALLERS_PER_ZONE = 8;
/** Upstreams that start until the older of two versions is no longer used. */
const UPSTREAMS_PER_RELEASE = 10;
const FIRST_PROXY_PORT = 7900;
/** Key for faults of the control replica group as a whole. */
const CONTROL_GROUP = "core";

type Options = {
  readonly adapter: ProgramAdapter;
  readonly folder: string;
  readonly random: Random;
  readonly faults: FaultMode;
  /** Index among concurrent soaks; determines the addresses. */
  readonly slot: number;
  /** Memory beyond which a process is killed. */
  readonly memoryLimitMib: number;
};

/**
 * A deployment of real processes with its upstreams and callers, and the means
 * to inject faults into it.
 */
export class SoakDeployment {
  readonly zones = ["a", "b", "c", "d"];
  readonly machines: Machine[] = [];
  readonly proxy: LinkProxy;
  readonly disturbances = new DisturbanceLog(UNDISTURBED_TIME);
  readonly stops = new StopLog();
  readonly tally = new RequestTally();
  readonly stalls = new StallLog();
  readonly memory: MemoryWatch;
  readonly checks: GuaranteeChecks;
  readonly crashing: CrashingRequests;
  readonly random: Random;
  readonly outcomes = new Map<number, number>();
  readonly #options: Options;
  readonly #upstreams = new Set<SoakUpstream>();
  readonly #callers: SoakCaller[] = [];
  readonly #proxyAddress: string;
  /** Whether the initial VMs and upstreams have started. */
  #isRunning = false;
  readonly documents: DocumentPublisher;
  #upstreamCount = 0;

  constructor(options: Options) {
    this.#options = options;
    this.random = options.random;
    const port = FIRST_PROXY_PORT + options.slot * LinkProxy.portCount;
    this.proxy = new LinkProxy(port);
    this.#proxyAddress = `127.0.0.1:${port}`;
    this.memory = new MemoryWatch({
      limitMib: options.memoryLimitMib,
      listProcesses: () =>
        this.machines.flatMap((machine) => machine.listProcesses()),
      onExceeded: (name, mib) =>
        this.checks.report(
          "own_end",
          `${name} uses ${Math.round(mib)} MiB of ${options.memoryLimitMib}`,
        ),
    });
    this.documents = new DocumentPublisher({
      adapter: options.adapter,
      listReplicas: () => this.#listReplicas(),
    });
    this.crashing = new CrashingRequests({
      adapter: options.adapter,
      random: options.random,
      document: () => this.documents.document,
      listEntries: () =>
        this.activeMachines().map((entry) => entry.callerAddress),
    });
    this.checks = new GuaranteeChecks({
      drainTime: DRAIN_TIME,
      wasReplicaUndisturbed: (address, at) =>
        this.disturbances.wasUndisturbed(CONTROL_GROUP, at) &&
        this.disturbances.wasUndisturbed(address.split(":")[0]!, at),
      wasHostUndisturbed: (host, at) =>
        this.disturbances.wasUndisturbed(host, at),
      wasEntryUndisturbed: (host, at) =>
        this.disturbances.wasUndisturbed(CONTROL_GROUP, at) &&
        this.disturbances.wasUndisturbed(host, at),
      listUpstreams: (version) =>
        [...this.#upstreams].filter((upstream) => upstream.version === version),
      resumableTime: RESUMABLE_TIME,
      wereLinksUndisturbed: (host, at) =>
        this.disturbances.wasUndisturbed(linksOf(host), at),
      requestTimeout: () => this.documents.document.timeout,
      wereUpstreamsSilent: (from, to) => this.stalls.hadStall(from, to),
      documentChangedAt: () => this.documents.changedAt,
      findSignal: this.stops.findSignal.bind(this.stops),
      areAllAtRest: (since) => {
        const ready = [...this.#upstreams].filter(({ isReady }) => isReady);
        return ready.length > 0 &&
          ready.every(({ limits }) => limits.isAtRest(since));
      },
      interruptedAt: (host) =>
        this.machines.find((machine) => machine.host === host)
          ?.interruptedAt ?? -Infinity,
      areRatesLimited: () =>
        [...this.#upstreams].some(({ limits }) =>
          limits.rateLimit !== undefined
        ),
      describe: (host, at) => describeEntry(this, { host, at }),
    });
  }

  /** Starts all processes and waits until requests are served. */
  async start(): Promise<void> {
    this.stalls.start();
    this.memory.start();
    await this.proxy.listen();
    const { faults, folder, adapter } = this.#options;
    for (const zone of this.zones) {
      for (let number = 1; number <= faults.machinesPerZone; number += 1) {
        this.addMachine(zone, {
          hasControlProcess: number <= CONTROLS_PER_ZONE,
          hasReplica: number === 1,
        });
      }
    }
    const seeds = this.seeds();
    for (const machine of this.machines) {
      machine.start({ seeds, isFirstStart: true });
    }
    const timeout = faults.workload.requestTimeout;
    await waitForService(
      () => this.documents.publish({ timeout }),
      { what: "The first configuration", folder },
    );
    for (const zone of this.zones) {
      for (let count = 0; count < UPSTREAMS_PER_ZONE; count += 1) {
        await this.addUpstream(zone);
      }
    }
    await waitForService(
      () =>
        areRequestsServed(this.activeMachines(), {
          adapter,
          document: this.documents.document,
        }),
      { what: "The first response", folder },
    );
    this.#isRunning = true;
    for (const zone of this.zones) {
      for (let count = 0; count < CALLERS_PER_ZONE; count += 1) {
        this.#addCaller(zone);
      }
    }
  }

  async stop(): Promise<void> {
    this.memory.stop();
    for (const machine of this.machines) {
      machine.preventStarts();
    }
    for (const caller of this.#callers) {
      caller.stop();
    }
    for (const upstream of this.#upstreams) {
      await upstream.shutDown("crashes");
    }
    for (const machine of this.machines) {
      machine.signal("SIGKILL");
      machine.signal("SIGCONT");
    }
    await Promise.all(this.machines.map((machine) => machine.waitForExit()));
    this.proxy.close();
    this.stalls.stop();
  }

  /** Operator addresses of three random control processes, as seeds. */
  seeds(): string[] {
    return this.activeMachines()
      .filter(({ hasControlProcess }) => hasControlProcess)
      .map((machine) => ({ machine, order: this.random() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, 3)
      .map(({ machine }) => machine.operatorAddress);
  }

  /** VMs that run a control replica. */
  replicaMachines(): Machine[] {
    return this.machines.filter((
      { hasReplica, isRemoved },
    ) => hasReplica && !isRemoved);
  }

  /** VMs that haven't been removed, with a control replica or without. */
  activeMachines(): Machine[] {
    return this.machines.filter(({ isRemoved }) => !isRemoved);
  }

  /** Adds a VM without starting it. */
  addMachine(
    zone: string,
    options: { hasControlProcess: boolean; hasReplica: boolean },
  ): Machine {
    const number = this.machines.filter((known) => known.zone === zone).length +
      1;
    const at = this.zones.indexOf(zone) + 1;
    const machine = new Machine({
      name: `edge-${zone}-${number}`,
      zone,
      host: `127.${30 + this.#options.slot}.${at}.${number}`,
      discoverableFrom: this.#isRunning ? performance.now() + DISCOVERY_LAG : 0,
      ...options,
    }, {
      ...this.#options,
      proxyAddress: this.#proxyAddress,
      onOwnEnd: (text) => this.checks.report("own_end", text),
    });
    this.machines.push(machine);
    return machine;
  }

  /** Starts the processes of a VM that aren't running, with current seeds. */
  startMachine(machine: Machine): void {
    machine.start({ seeds: this.seeds(), isFirstStart: false });
  }

  /**
   * Adds an upstream and starts it.
   *
   * @param options.notVersion A version that it doesn't have.
   */
  async addUpstream(
    zone: string,
    { notVersion }: { notVersion?: string } = {},
  ): Promise<SoakUpstream> {
    this.#upstreamCount += 1;
    const count = this.#upstreamCount;
    const { slot, adapter, faults } = this.#options;
    const upstream = new SoakUpstream({
      name: `desk-${zone}-${count}`,
      service: this.documents.document.service,
      version: this.#pickVersion(notVersion),
      zone,
      host: `127.${60 + slot}.${Math.floor(count / 250)}.${1 + count % 250}`,
      adapter,
      random: this.random,
      workload: faults.workload,
      isBesideStop: () => this.stops.isUnderWay,
      listReplicas: () => this.#listReplicas(),
      rateLimits: this.checks.rateLimits,
      statements: this.checks.statements,
      runs: this.checks.runs,
      onReceived: (received) => this.checks.checkReceived(received),
      onRun: (received) => this.checks.checkRun(received),
      isNonIdempotent: (path) =>
        path.startsWith(this.documents.document.nonIdempotentPrefix) ||
        path.startsWith(this.documents.document.streamPrefix),
      isStream: (path) =>
        path.startsWith(this.documents.document.resumablePrefix) ||
        path.startsWith(this.documents.document.streamPrefix),
      crashCauseOf: (path, parts) => this.crashing.causeOf(path, parts),
      onCrash: (cause) => this.checks.recordCrash(cause),
      onOverload: (from) => this.checks.recordOverload(from),
    });
    this.#upstreams.add(upstream);
    await upstream.start();
    return upstream;
  }

  /** One of two versions side by side; later upstreams bring newer ones. */
  #pickVersion(not: string | undefined): string {
    const oldest = Math.floor(this.#upstreamCount / UPSTREAMS_PER_RELEASE);
    const versions = [`v${oldest}`, `v${oldest + 1}`];
    const [first, second] = this.random() < 0.5 ? versions : versions.reverse();
    return first === not ? second! : first!;
  }

  /** Picks a random ready upstream of a zone, or of any zone. */
  pickUpstream(zone?: string): SoakUpstream | undefined {
    const ready = [...this.#upstreams].filter((upstream) =>
      upstream.isReady && (zone === undefined || upstream.zone === zone)
    );
    return ready[Math.floor(this.random() * ready.length)];
  }

  upstreamHosts(): string[] {
    return [...this.#upstreams].map(({ host }) => host);
  }

  /** Picks a share of the ready upstreams at random. */
  pickUpstreams(share: number): SoakUpstream[] {
    return [...this.#upstreams].filter(({ isReady }) =>
      isReady && this.random() < share
    );
  }

  removeUpstream(upstream: SoakUpstream): void {
    this.#upstreams.delete(upstream);
  }

  /** Records a fault of a control VM; the returned function ends it. */
  beginControlDisturbance(host: string): () => void {
    const at = performance.now();
    const ends = [
      this.disturbances.begin(CONTROL_GROUP, at),
      this.disturbances.begin(host, at),
    ];
    return () => ends.forEach((end) => end());
  }

  /** Records a fault of one VM; the returned function ends it. */
  beginDisturbance(host: string): () => void {
    return this.disturbances.begin(host, performance.now());
  }

  /** Records a fault of the links between an entry and upstreams. */
  beginLinkDisturbance(host: string): () => void {
    return this.disturbances.begin(linksOf(host), performance.now());
  }

  #addCaller(zone: string): void {
    const { workload } = this.#options.faults;
    const caller = new SoakCaller({
      name: `r${this.#callers.length}`,
      zone,
      isSticky: workload.areCallersSticky || this.#callers.length % 2 === 0,
      workload,
      tally: this.tally,
      adapter: this.#options.adapter,
      document: () => this.documents.document,
      listLookups: () => this.#listLookups(zone),
      random: this.random,
      onOutcome: (outcome) => {
        const { status } = outcome;
        this.outcomes.set(status, (this.outcomes.get(status) ?? 0) + 1);
        this.checks.checkOutcome(outcome);
      },
      streams: this.checks.streams,
      statements: this.checks.statements,
    });
    this.#callers.push(caller);
    void caller.run();
  }

  /** Operator addresses as others discover them, delayed and shuffled. */
  #listReplicas(): string[] {
    const now = performance.now();
    return this.machines
      .filter((machine) =>
        machine.hasControlProcess &&
        machine.isDiscoverable(now, DISCOVERY_LAG)
      )
      .map((machine) => ({ machine, order: this.random() }))
      .sort((left, right) => left.order - right.order)
      .map(({ machine }) => machine.operatorAddress);
  }

  #listLookups(zone: string): string[] {
    const activeMachines = this.activeMachines();
    const sameZone = activeMachines.filter((machine) => machine.zone === zone);
    const listed = this.random() < 0.7 && sameZone.length > 0
      ? sameZone
      : activeMachines;
    return listed.map(({ lookupAddress }) => lookupAddress);
  }
}

/** Key for faults of the links between the entry on a host and upstreams. */
function linksOf(host: string): string {
  return `links of ${host}`;
}
