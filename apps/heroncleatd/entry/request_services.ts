import type { Fault, Milliseconds } from "@heroncleat/base";
import type {
  CopyMessage,
  CopyReply,
  CustodyReply,
  RequestRecord,
} from "@heroncleat/schema";
import type { RouteResult } from "./route_result.ts";

/** How a request ended at its owner. */
type RequestEnd =
  | { readonly kind: "finished" }
  | { readonly kind: "refused"; readonly fault: Fault }
  | { readonly kind: "failed"; readonly fault: Fault }
  | { readonly kind: "handed_over"; readonly owner: string }
  | { readonly kind: "fenced"; readonly owner: string };

/** Operations of the entry that a running request uses. */
export type RequestServices = {
  readonly sendCopy: (to: string, message: CopyMessage) => Promise<CopyReply>;
  readonly chooseStandby: (exclude: readonly string[]) => string;
  /** Moves custody in the ledger; `undefined` if no replica replies. */
  readonly moveStandby: (
    record: RequestRecord,
    options: { expectedEpoch: number; standby: string },
  ) => Promise<CustodyReply | undefined>;
  /** Returns the new owner, or `undefined` if the standby did not take over. */
  readonly handOver: (
    standby: string,
    id: string,
  ) => Promise<string | undefined>;
  readonly route: (
    record: RequestRecord,
    options: {
      token: string;
      exclude: readonly string[];
      isRetry: boolean;
      isContinued: boolean;
    },
  ) => Promise<RouteResult>;
  readonly recordAttempt: (
    upstream: string,
    options: { token: string; outcome: "succeeded" | "failed" | "neutral" },
  ) => void;
  readonly recordFirstToken: (
    upstream: string,
    times: { measured: Milliseconds; estimated: Milliseconds },
  ) => void;
  readonly recordTokenInterval: (
    upstream: string,
    measured: Milliseconds,
  ) => void;
  readonly onAccepted: (record: RequestRecord) => void;
  readonly onEnded: (record: RequestRecord, end: RequestEnd) => void;
};
