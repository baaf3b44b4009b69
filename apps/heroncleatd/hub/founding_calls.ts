import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  checkHoldRequest,
  checkRegisterRequest,
  type FoundingView,
  type HoldRequest,
  type RegisterRequest,
} from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { FoundingRegister } from "./founding_register.ts";

const REGISTER = "group.register";
const HOLD = "group.hold";
const ASK_TIMEOUT: Milliseconds = 1000;

type Methods = Readonly<Record<string, MethodHandler>>;

/** What replicas call at a seed to find or found their group. */
export const foundingCalls = {
  /** The methods of a seed. */
  methods(register: FoundingRegister, clock: Clock): Methods {
    return {
      [REGISTER]: (request) => {
        if (!checkRegisterRequest(request)) {
          throw malformed();
        }
        return register.register(request, clock.steady());
      },
      [HOLD]: (request) => {
        if (!checkHoldRequest(request)) {
          throw malformed();
        }
        return register.hold(request, clock.steady());
      },
    };
  },

  /** Calls them; a seed asks itself without a connection. */
  caller(
    pool: PeerPool,
    { ownAddress, own }: { ownAddress: string; own: Methods },
  ): {
    register: (seed: string, request: RegisterRequest) => Promise<FoundingView>;
    hold: (seed: string, request: HoldRequest) => Promise<FoundingView>;
  } {
    const call = async (seed: string, method: string, parameters: unknown) =>
      (seed === ownAddress
        ? await own[method]!(parameters)
        : await pool.call(seed, method, {
          parameters,
          timeout: ASK_TIMEOUT,
        })) as FoundingView;
    return {
      register: (seed, request) => call(seed, REGISTER, request),
      hold: (seed, request) => call(seed, HOLD, request),
    };
  },

  /** Tells a seed that holds no replica which group there is. */
  announce(pool: PeerPool, seed: string, request: RegisterRequest): void {
    pool.notify(seed, REGISTER, request);
  },
};

function malformed(): Error {
  return new Error("The request is malformed. Remedy: update the sender.");
}
