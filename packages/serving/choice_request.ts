import type { PromptPart } from "./prompt_part.ts";
import type { EngineProfile } from "./engine_profile.ts";

/** What the choice needs to know of a request. @internal */
export type ChoiceRequest = {
  readonly service: string;
  readonly zone: string;
  /** Shared parts of the prompt; empty for plain services. */
  readonly parts: readonly PromptPart[];
  /** All tokens of the prompt. */
  readonly promptTokens: number;
  /** Upstreams that this request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Whether an idle connection to an upstream is kept. */
  readonly isConnected?: (upstream: string) => boolean;
  /** Whether it goes where little else runs, as it may end its upstream. */
  readonly prefersIdle?: boolean;
  /** What is known of the service's engines; absent for plain services. */
  readonly engine?: EngineProfile | undefined;
};
