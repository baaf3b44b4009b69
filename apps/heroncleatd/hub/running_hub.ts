import type { Milliseconds } from "@heroncleat/base";
import type { ServingDocument, UpstreamRecord } from "@heroncleat/serving";
import type { PublishOutcome } from "./publish_outcome.ts";
import type { StoredDocument } from "./serving_application.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** What operators and upstreams may ask of a process of the control role. */
export type RunningHub = {
  /** Puts a checked document in force; accepted once a quorum has it. */
  publish(document: ServingDocument, source: string): Promise<PublishOutcome>;
  /** The newest document, or why it isn't known for sure. */
  readDocument(): Promise<StoredDocument | "none" | "unavailable">;
  /** Takes updates of an upstream in. */
  mergeUpstream(record: UpstreamRecord): Promise<UpdateOutcome>;
  /** Counts and logs updates under a name that can't be read. */
  noteUnreadable(name: string, problem: string): void;
  /** @param born When the start that leaves began, if it said so. */
  removeUpstream(name: string, born?: Milliseconds): Promise<UpdateOutcome>;
  stop(): Promise<void>;
};
