import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  checkHoldRequest,
  checkRegisterRequest,
  type FoundingView,
  type HoldRequest,
  type RegisterRequest,
} from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { BootstrapRegistry } from "./bootstrap_registry.ts";

const REGISTER_METHOD = "group.register";
const HOLD_METHOD = "group.hold";
const CALL_TIMEOUT: Milliseconds = 1000;

type Methods = Readonly<Record<string, MethodHandler>>;

/**
 * RPC methods by which replicas find or bootstrap their group through the
 * seeds.
 */
export const bootstrapCalls = {
  /** Handlers that a seed serves. */
  methods(registry: BootstrapRegistry, clock: Clock): Methods {
    return {
      [REGISTER_METHOD]: (request) => {
        if (!checkRegisterRequest(request)) {
          throw createMalformedRequestError();
        }
        return registry.register(request, clock.steady());
      },
      [HOLD_METHOD]: (request) => {
        if (!checkHoldRequest(request)) {
          throw createMalformedRequestError();
        }
        return registry.hold(request, clock.steady());
      },
    };
  },

  /**
   * Returns functions that call a seed; a replica that is a seed itself calls
   * its own handlers directly.
   */
  caller(
    pool: PeerPool,
    { ownAddress, ownMethods }: { ownAddress: string; ownMethods: Methods },
  ): {
    register: (seed: string, request: RegisterRequest) => Promise<FoundingView>;
    hold: (seed: string, request: HoldRequest) => Promise<FoundingView>;
  } {
    const call = async (seed: string, method: string, parameters: unknown) =>
      (seed === ownAddress
        ? await ownMethods[method]!(parameters)
        : await pool.call(seed, method, {
          parameters,
          timeout: CALL_TIMEOUT,
        })) as FoundingView;
    return {
      register: (seed, request) => call(seed, REGISTER_METHOD, request),
      hold: (seed, request) => call(seed, HOLD_METHOD, request),
    };
  },

  /** Sends the group's members to a seed that holds no replica. */
  announce(pool: PeerPool, seed: string, request: RegisterRequest): void {
    pool.notify(seed, REGISTER_METHOD, request);
  },
};

function createMalformedRequestError(): Error {
  return new Error("The request is malformed. Remedy: update the sender.");
}
