import type { Milliseconds, Random } from "@heroncleat/base";
import { FailureReports } from "./failure_reports.ts";
import type { RestPolicy } from "./rest_policy.ts";
import { ReturnTimes } from "./return_times.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import { UpstreamStatements } from "./upstream_statements.ts";

type EntryOptions = {
  readonly policy: RestPolicy;
  readonly slots: number;
  readonly random: Random;
};

/** What one entry of a simulation of rests knows. */
export class SimulatedRestEntry {
  readonly name: string;
  readonly directory: UpstreamDirectory = new UpstreamDirectory();
  readonly stated: UpstreamStatements;
  readonly balancer: UpstreamBalancer;
  readonly returnTimes: ReturnTimes;
  readonly reports: FailureReports = new FailureReports();
  readonly #slots: number;
  isListed = true;
  requests = 0;
  retries = 0;

  constructor(name: string, { policy, slots, random }: EntryOptions) {
    this.name = name;
    this.#slots = slots;
    this.stated = new UpstreamStatements(
      policy.returnsGradually ? random : () => 0,
    );
    this.balancer = new UpstreamBalancer({
      statements: policy.heeds ? this.stated : new UpstreamStatements(() => 0),
    });
    this.returnTimes = new ReturnTimes(random);
  }

  /** Receives a heartbeat of an upstream. */
  receiveHeartbeat(
    { id, born }: { readonly id: string; readonly born: Milliseconds },
    now: Milliseconds,
  ): void {
    this.directory.merge({
      id,
      name: id.split("-")[0]!,
      born,
      service: "desk",
      address: `${id}:80`,
      zone: "a",
      slots: this.#slots,
      sequence: Math.floor(now) + 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    }, now);
  }
}
