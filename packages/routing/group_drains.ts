import { type Milliseconds, ownValue } from "@heroncleat/base";
import type { ConfigurationView } from "@heroncleat/schema";

/** Time before the end of a drain timeout that sending may take. */
const SENDING_MARGIN: Milliseconds = 250;

type Groups = ConfigurationView["groups"];

/**
 * Tracks since when groups drain, at the latest, to tell until when they may
 * be sent generations that have begun.
 *
 * @internal
 */
export class GroupDrains {
  readonly #drainTimeout: Milliseconds;
  readonly #starts = new Map<string, Milliseconds>();
  #groups: Groups = {};

  constructor(drainTimeout: Milliseconds) {
    this.#drainTimeout = drainTimeout;
  }

  /**
   * Applies a configuration.
   *
   * @param confirmedAt When the former one was last known to be in effect;
   *     undefined if it wasn't. A drain may have begun right after it.
   */
  update(groups: Groups, confirmedAt: Milliseconds | undefined): void {
    for (const [name, { state }] of Object.entries(groups)) {
      if (state !== "draining") {
        this.#starts.delete(name);
        continue;
      }
      const former = ownValue(this.#groups, name);
      const hasBegun = former !== undefined && former.state !== "draining";
      if (hasBegun && confirmedAt !== undefined) {
        this.#starts.set(name, confirmedAt);
      }
    }
    for (const name of this.#starts.keys()) {
      if (!Object.hasOwn(groups, name)) {
        this.#starts.delete(name);
      }
    }
    this.#groups = groups;
  }

  /**
   * Until when a group in drain may be sent generations that have begun; in the
   * past if it is unknown since when it drains.
   */
  endsAt(group: string): Milliseconds {
    const start = this.#starts.get(group);
    return start === undefined
      ? -Infinity
      : start + this.#drainTimeout - SENDING_MARGIN;
  }
}
