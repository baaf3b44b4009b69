import type { EngineSettings, StandInSettings } from "@heroncleat/stand_ins";

/** Sizes and settings of a local deployment. @public */
export type DeploymentPlan = {
  readonly folder: string;
  /** First of the ports that the deployment takes. */
  readonly firstPort: number;
  readonly controls: number;
  readonly entries: number;
  readonly engines: number;
  readonly services: number;
  /** Whether peers reach each other through relays that can be cut. */
  readonly usesRelays?: boolean;
  readonly workspaces?: readonly string[];
  /** Lines added to the [entry], [control] and [policy] sections. */
  readonly entrySettings?: Readonly<Record<string, string | number>>;
  readonly controlSettings?: Readonly<Record<string, string | number>>;
  readonly policySettings?: Readonly<Record<string, string | number>>;
  readonly engine?: Partial<EngineSettings>;
  /** Changes one upstream's settings. */
  readonly upstream?: (
    settings: StandInSettings,
    index: number,
  ) => StandInSettings;
};
