import type { EngineSettings, StandInSettings } from "@heroncleat/stand_ins";

/** Sizes and settings of a local deployment. @public */
export type DeploymentPlan = {
  readonly folder: string;
  /** Lowest port that the deployment uses. */
  readonly firstPort: number;
  readonly controls: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  /** Whether peers connect through relays that can partition them. */
  readonly usesRelays?: boolean;
  /** Loopback addresses in place of the usual ones. */
  readonly hostOf?: (
    kind: "control" | "entry" | "upstream",
    number: number,
  ) => string;
  readonly workspaces?: readonly string[];
  /** Settings added to the [entry], [control] and [policy] sections. */
  readonly entrySettings?: Readonly<Record<string, string | number>>;
  readonly controlSettings?: Readonly<Record<string, string | number>>;
  readonly policySettings?: Readonly<Record<string, string | number>>;
  readonly engine?: Partial<EngineSettings>;
  /** Overrides the settings of the upstream at an index. */
  readonly upstream?: (
    settings: StandInSettings,
    index: number,
  ) => StandInSettings;
};
