import type { Milliseconds } from "@heroncleat/base";

/** A call with a JSON body. */
type WireCall = {
  readonly method: string;
  readonly path: string;
  readonly body: string;
};

/** One VM as its processes are told of it. @public */
export type MachinePlan = {
  readonly name: string;
  readonly zone: string;
  /** Loopback address that only this VM has. */
  readonly host: string;
  /** Disk of its control replica; undefined where none runs. */
  readonly dataFolder: string | undefined;
  /** Operators' addresses of up to three control replicas. */
  readonly seeds: readonly string[];
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
};

/** What an upstream says of itself. @public */
export type UpstreamReport = {
  readonly name: string;
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: "ready" | "draining";
  readonly sequence: number;
};

/** A configuration of the soak: two routes to one service. @public */
export type SoakDocument = {
  readonly version: number;
  readonly service: string;
  readonly host: string;
  /** Prefix of requests that may be repeated, and of those that may not. */
  readonly repeatablePrefix: string;
  readonly singlePrefix: string;
  readonly timeout: Milliseconds;
};

/**
 * How a soak speaks to the program under test: names, formats and calls. They
 * are given to the soak, which decides what to say and when.
 *
 * @public
 */
export type SoakWire = {
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
  readonly publish: (document: SoakDocument) => WireCall;
  readonly readDocument: WireCall;
  /** The version of a configuration that was read. */
  readonly versionOf: (body: string) => number;
  readonly heartbeat: (report: UpstreamReport) => WireCall;
  readonly departure: (name: string) => WireCall;
  readonly lookup: (options: { host: string; zone: string }) => string;
  /** Addresses of entries that a lookup names. */
  readonly addressesOf: (body: string) => readonly string[];
  readonly headers: {
    readonly attempt: string;
    readonly timeLeft: string;
    readonly expectedUpstream: string;
    readonly digest: string;
    readonly notRun: string;
  };
};
