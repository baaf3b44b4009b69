import type { Milliseconds } from "@heroncleat/base";
import type { ForwardContext } from "../forward_context.ts";

/** Inputs of one attempt to send a request to an upstream. */
export type AttemptOptions = {
  readonly context: ForwardContext;
  /** Identifiers of upstreams that were already tried. */
  readonly excluded: ReadonlySet<string>;
  readonly lastEvent: string | undefined;
  /**
   * The only software version that may continue the stream; undefined if any
   * may run the request.
   */
  readonly version: string | undefined;
  /**
   * Whether to refuse the request if no upstream can meet its latency
   * objective.
   */
  readonly mayBeRefused: boolean;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
  /** Whether an earlier attempt may have reached an upstream. */
  readonly isRetry: boolean;
  /** Whether the request was counted as begun by an upstream. */
  readonly isUsageCounted: boolean;
  /**
   * Connections that this request couldn't open; one that was neither refused
   * nor accepted in time counts twice.
   */
  readonly unopened: number;
  /** How many of them were refused; counted for streams. */
  readonly refusedConnections: number;
  /** Monotonic time until which to wait for an available upstream. */
  readonly waitUntil: Milliseconds;
  readonly signal: AbortSignal;
  /**
   * Whether another upstream could repeat the request, or go on with it, if the
   * attempt broke off now.
   */
  readonly mayGoOn: () => boolean;
  /** Adds another entry's refusal to the attempts in the log. */
  readonly recordRefusal: (refusal: string) => void;
};
