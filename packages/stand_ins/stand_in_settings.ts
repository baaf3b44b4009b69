import type { Milliseconds } from "@heroncleat/base";
import type { Announcement } from "@heroncleat/schema";
import type { EngineSettings } from "./engine_settings.ts";

/** Settings of a stand-in upstream process. @public */
export type StandInSettings = {
  readonly name: string;
  readonly address: string;
  readonly kind: Announcement["kind"];
  readonly service: string;
  readonly models: readonly string[];
  readonly zone: string;
  readonly vmClass: Announcement["vmClass"];
  readonly price: number;
  readonly labels: Readonly<Record<string, string>>;
  readonly checksFencing: boolean;
  /** Caller addresses of a few entries. */
  readonly entries: readonly string[];
  readonly sharedSecret: string;
  readonly announceInterval: Milliseconds;
  readonly engine: EngineSettings;
  /** The process crashes if a request body contains this text. */
  readonly crashOn?: string;
};
