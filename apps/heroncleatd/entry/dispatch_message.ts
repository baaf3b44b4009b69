import type { Milliseconds } from "@heroncleat/base";
import type { AdmissionRequest } from "@heroncleat/admission";
import type { RoutedRequest, Router } from "@heroncleat/routing";
import type {
  Announcement,
  CacheEvent,
  ConfigurationView,
} from "@heroncleat/schema";
import type { AdmissionResult } from "./admission_result.ts";
import type { RouteResult } from "./route_result.ts";

/** Messages to the actor that owns routing and admission. */
export type DispatchMessage =
  | { readonly kind: "tick" }
  /** Names of the entries that are alive. */
  | { readonly kind: "entries"; readonly alive: readonly string[] }
  | {
    readonly kind: "configuration";
    readonly view: ConfigurationView;
    /** When the former view was last confirmed. */
    readonly confirmedAt: Milliseconds | undefined;
  }
  | { readonly kind: "upstream"; readonly announcement: Announcement }
  | { readonly kind: "upstream_lapsed"; readonly name: string }
  | {
    readonly kind: "cache_event";
    readonly upstream: string;
    readonly event: CacheEvent;
  }
  | {
    readonly kind: "admit";
    readonly request: AdmissionRequest;
    readonly target: Pick<RoutedRequest, "model" | "service">;
    readonly reply: (result: AdmissionResult) => void;
  }
  | {
    readonly kind: "release";
    readonly token: string;
    readonly target: Pick<RoutedRequest, "model" | "service">;
  }
  | {
    readonly kind: "route";
    readonly request: RoutedRequest;
    readonly token: string;
    /** Whether an earlier attempt failed; retries consume the retry budget. */
    readonly isRetry: boolean;
    readonly reply: (result: RouteResult) => void;
  }
  | {
    readonly kind: "first_token";
    readonly upstream: string;
    readonly measured: Milliseconds;
    readonly estimated: Milliseconds;
  }
  | {
    readonly kind: "between_tokens";
    readonly upstream: string;
    readonly measured: Milliseconds;
  }
  | {
    readonly kind: "ended";
    readonly upstream: string;
    readonly token: string;
    readonly outcome: "succeeded" | "failed" | "neutral";
  }
  | { readonly kind: "inspect"; readonly read: (router: Router) => void };
