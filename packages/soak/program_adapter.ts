import type { MachinePlan } from "./machine_plan.ts";
import type { SoakDocument } from "./soak_document.ts";
import type { UpstreamReport } from "./upstream_report.ts";

/** A call with a JSON body. */
type AdapterCall = {
  readonly method: string;
  readonly path: string;
  readonly body: string;
};

/**
 * How a soak speaks to the program under test: names, formats and calls. They
 * are given to the soak, which decides what to say and when.
 *
 * @public
 */
export type ProgramAdapter = {
  /** The program and its words for a role. */
  readonly command: (role: "entry" | "control") => readonly string[];
  /** Variable that holds the path of the settings file. */
  readonly settingsVariable: string;
  readonly writeSettings: (plan: MachinePlan) => string;
  readonly ports: {
    readonly callers: number;
    readonly lookups: number;
    readonly operators: number;
  };
  readonly publish: (document: SoakDocument) => AdapterCall;
  readonly readDocument: AdapterCall;
  /** The version of a configuration that was read. */
  readonly parseVersion: (body: string) => number;
  readonly heartbeat: (report: UpstreamReport) => AdapterCall;
  readonly departure: (name: string) => AdapterCall;
  readonly lookup: (options: { host: string; zone: string }) => string;
  /** Addresses of entries that a lookup names. */
  readonly parseAddresses: (body: string) => readonly string[];
  readonly headers: {
    readonly attempt: string;
    readonly timeLeft: string;
    readonly expectedUpstream: string;
    readonly digest: string;
    readonly notRun: string;
  };
};
