import type { ConfigurationView, RevisionEdits } from "@heroncleat/schema";
import { applyEdit } from "./apply_edit.ts";
import { emptyConfiguration } from "./empty_configuration.ts";

/**
 * An entry's copy of the configuration. Its revision never decreases.
 *
 * @public
 */
export class ConfigurationFollower {
  #view: ConfigurationView;

  constructor() {
    const { revision, groups, selectors, limits, labels } =
      emptyConfiguration();
    this.#view = { revision, groups, selectors, limits, labels };
  }

  get view(): ConfigurationView {
    return this.#view;
  }

  /** Applies a view if its revision is newer, and returns whether it was. */
  applyView(view: ConfigurationView): boolean {
    if (view.revision <= this.#view.revision) {
      return false;
    }
    this.#view = view;
    return true;
  }

  /**
   * Applies the edits that follow the present revision and skips all others.
   * Returns whether the revision increased.
   */
  applyEdits(steps: readonly RevisionEdits[]): boolean {
    const start = this.#view.revision;
    const next = structuredClone(this.#view);
    for (const step of steps) {
      if (step.revision !== next.revision + 1) {
        continue;
      }
      for (const edit of step.edits) {
        applyEdit(next, edit);
      }
      next.revision = step.revision;
    }
    this.#view = next;
    return next.revision > start;
  }
}
