import type { Milliseconds } from "@heroncleat/base";

type SimulatedUpstream = {
  id: string;
  born: Milliseconds;
  isUp: boolean;
  inFlight: number;
  rejectsUntil: Milliseconds;
  /** What it asks for; 0 if it asks for nothing. */
  rest: Milliseconds;
};

/** The upstreams of a simulation of rests. */
export class SimulatedRestUpstreams {
  readonly #upstreams: SimulatedUpstream[] = [];
  #starts = 0;

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) {
      const upstream = {
        id: "",
        born: 0,
        isUp: false,
        inFlight: 0,
        rejectsUntil: -1,
        rest: 0,
      };
      this.#upstreams.push(upstream);
      this.start(upstream, 0);
    }
  }

  /** Starts a new instance of an upstream. */
  start(upstream: SimulatedUpstream, now: Milliseconds): void {
    this.#starts += 1;
    upstream.id = `u${this.#upstreams.indexOf(upstream)}-${this.#starts}`;
    upstream.born = now;
    upstream.isUp = true;
    upstream.inFlight = 0;
    upstream.rejectsUntil = -1;
  }

  list(): readonly SimulatedUpstream[] {
    return this.#upstreams;
  }

  listUp(): readonly SimulatedUpstream[] {
    return this.#upstreams.filter(({ isUp }) => isUp);
  }

  find(id: string): SimulatedUpstream | undefined {
    return this.#upstreams.find((each) => each.id === id);
  }
}
