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
 * Adapts a soak to the program under test: its commands, settings, header names
 * and message formats.
 *
 * @public
 */
export type ProgramAdapter = {
  /** Script and arguments that run a role. */
  readonly command: (role: "entry" | "control") => readonly string[];
  /** Environment variable with the path of the settings file. */
  readonly settingsVariable: string;
  readonly writeSettings: (plan: MachinePlan) => string;
  readonly ports: {
    readonly callers: number;
    readonly lookups: number;
    readonly operators: number;
  };
  readonly publish: (document: SoakDocument) => AdapterCall;
  readonly readDocument: AdapterCall;
  /** Extracts the version from a configuration document. */
  readonly parseVersion: (body: string) => number;
  readonly heartbeat: (report: UpstreamReport) => AdapterCall;
  readonly departure: (name: string) => AdapterCall;
  readonly lookup: (options: { host: string; zone: string }) => string;
  /** Extracts the entry addresses from the response to a lookup. */
  readonly parseAddresses: (body: string) => readonly string[];
  /** Headers that state the parts of a request's prompt. */
  readonly promptHeaders: (
    parts: readonly string[],
  ) => Readonly<Record<string, string>>;
  /** Reads those parts. */
  readonly parsePromptParts: (
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => readonly string[];
  readonly headers: {
    readonly attempt: string;
    readonly timeLeft: string;
    readonly expectedUpstream: string;
    readonly digest: string;
    readonly notRun: string;
    readonly rateLimit: string;
    readonly rejectionLimit: string;
    readonly leaving: string;
    readonly lastEvent: string;
    readonly resumes: string;
  };
};
