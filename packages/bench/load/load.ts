import type { EngineSettings } from "./engine_settings.ts";
import type { RequestKind } from "./request_kind.ts";

/** What callers send and which faults engines have, in one play. */
export type Load = {
  readonly name: string;
  /** Short name for plots. */
  readonly label: string;
  readonly kinds: readonly RequestKind[];
  readonly engine: EngineSettings;
  readonly engines: number;
  readonly entries: number;
  /** Engines that are lost while requests are counted. */
  readonly lost: number;
  /** Multiple of the largest workspace's requests in that time. */
  readonly surge: number;
  /** Multiples of the requests of single kinds in that time, by name. */
  readonly rates: Readonly<Record<string, number>>;
  /** Share of the engines that are slow at any moment. */
  readonly slowShare: number;
  /** Share of the entries that are cut off from the exchange in that time. */
  readonly cutOffShare: number;
};
