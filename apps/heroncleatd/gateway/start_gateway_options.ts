import type { Clock } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";
import type { ConnectionOpener } from "../common/connection_opener.ts";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { DecodedDocument } from "./exchange/decoded_document.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { HeaderNames } from "./header_names.ts";
import type { Prompt } from "./prompt.ts";

/** What a gateway needs of the process that starts it. */
export type GatewayOptions = {
  /** Returns the current settings, which may change at run time. */
  readonly settings: () => GatewaySettings;
  readonly names: HeaderNames;
  readonly readPrompt: (
    headers: Record<string, string | string[] | undefined>,
  ) => Prompt | undefined;
  readonly decodeDocument: (source: string) => DecodedDocument;
  readonly pool: PeerPool;
  /** Secret that the system's processes share. */
  readonly secret: string;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
  /** Opens connections to upstreams; by default directly. */
  readonly connect?: ConnectionOpener;
};
