import { ReturnTimes } from "@heroncleat/serving";

/** The times at which refused callers return, by service. */
export class ServiceReturnTimes {
  readonly #returnTimes = new Map<string, ReturnTimes>();

  of(service: string): ReturnTimes {
    const existing = this.#returnTimes.get(service);
    if (existing !== undefined) {
      return existing;
    }
    const created = new ReturnTimes(Math.random);
    this.#returnTimes.set(service, created);
    return created;
  }
}
