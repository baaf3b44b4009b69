import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import type { ResponseFraming } from "../../common/response_framing.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { AttemptTrace } from "./attempt_trace.ts";

/** An attempt that ended without a response head. */
type NoResponse<Kind extends string> = {
  readonly kind: Kind;
  readonly upstream: string;
  readonly reason: string;
  readonly trace: AttemptTrace;
};

/** Why no connection to the upstream was opened. */
type UnopenedConnection = "refused" | "silent" | "no_descriptor";

/** The outcome of an attempt, up to the head of the response. */
export type AttemptResult =
  | {
    readonly kind: "no_upstream";
    /** When another entry expects one, if it does. */
    readonly retryAfter?: Milliseconds | undefined;
  }
  /** The retry budget was used up while the request waited for an upstream. */
  | { readonly kind: "no_retry" }
  /** All upstreams have reached their rate limit. */
  | { readonly kind: "limited"; readonly retryAfter: Milliseconds }
  /** All upstreams that may serve it rest. */
  | { readonly kind: "resting"; readonly retryAfter: Milliseconds }
  /** The request is rejected because upstreams crash while running it. */
  | {
    readonly kind: "rejected";
    /** Key of the part of its prompt that they crash on, if it is one. */
    readonly part?: string | undefined;
  }
  /**
   * Another copy of the suspected request is in flight and may crash its
   * upstream.
   */
  | { readonly kind: "held" }
  /** This entry shuts down before the response can complete. */
  | { readonly kind: "leaving" }
  | {
    readonly kind: "overloaded";
    readonly retryAfter: Milliseconds;
    /** Inputs of the decision, as key=value pairs; absent from other entries. */
    readonly facts?: string;
  }
  | NoResponse<"not_run"> & {
    /** Absent if the upstream itself reported that it has not run. */
    readonly unopened?: UnopenedConnection;
  }
  | NoResponse<"unknown">
  | {
    readonly kind: "head";
    readonly upstream: string;
    readonly message: IncomingMessage;
    readonly framing: ResponseFraming;
    readonly trace: AttemptTrace;
    /**
     * Software version of the upstream, empty if it reports none; undefined if
     * it isn't known for certain.
     */
    readonly version: () => string | undefined;
    /** Whether the upstream has reported another version, or start, since. */
    readonly wasReplaced: () => boolean;
    /** Whether another entry sent the request, which counted its usage. */
    readonly isRelayed: boolean;
    /** Whether the sender refuses connections after it ended the response. */
    readonly hasCrashed: () => Promise<boolean>;
    /** Records the arrival of the first byte of the body. */
    readonly recordFirstByte: () => void;
    /**
     * Must be called once, when the body has ended or reading it was abandoned.
     */
    readonly finish: (outcome: AttemptOutcome) => void;
  };
