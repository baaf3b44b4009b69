import { createRecord, type Milliseconds } from "@heroncleat/base";
import type { RevisionCounter } from "./revision_counter.ts";
import type { ServiceVersions } from "./service_versions.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { upstreamVersion } from "./upstream_version.ts";

/** Time for which entries may list an upstream longer than this replica. */
const LISTED_LONGER: Milliseconds = 10_000;

/**
 * The software versions of each service that a control replica has observed
 * within the retention of streams. Entries get it when it changes, so that they
 * need nothing more where a service has had one version.
 *
 * @internal
 */
export class VersionLog {
  readonly #revisions: RevisionCounter;
  /** When a version was last observed, by service and version. */
  readonly #services = new Map<string, Map<string, Milliseconds>>();
  #startedAt: Milliseconds | undefined;
  #isComplete = false;
  #revision = 0;

  constructor(revisions: RevisionCounter) {
    this.#revisions = revisions;
  }

  /** Records that an upstream of a version is there, or was until now. */
  observe({ service, version }: UpstreamRecord, now: Milliseconds): void {
    // The departure of an unknown upstream names no service.
    if (service === "") {
      return;
    }
    const versions = this.#services.get(service) ?? new Map();
    this.#services.set(service, versions);
    const name = upstreamVersion(version);
    if (!versions.has(name)) {
      this.#revision = this.#revisions.next();
    }
    versions.set(name, now);
  }

  /** Removes versions that can't have begun a stream that still goes on. */
  expire(now: Milliseconds): void {
    this.#startedAt ??= now;
    if (!this.#isComplete && now - this.#startedAt >= STREAM_RETENTION) {
      this.#isComplete = true;
      this.#revision = this.#revisions.next();
    }
    for (const [service, versions] of this.#services) {
      for (const [version, observedAt] of versions) {
        if (now - observedAt > STREAM_RETENTION + LISTED_LONGER) {
          versions.delete(version);
          this.#revision = this.#revisions.next();
        }
      }
      if (versions.size === 0) {
        this.#services.delete(service);
      }
    }
  }

  /** All versions, if any changed after a revision; 0 always returns them. */
  since(revision: number): ServiceVersions | undefined {
    if (revision !== 0 && this.#revision <= revision) {
      return undefined;
    }
    const versions = createRecord<string[]>();
    for (const [service, observed] of this.#services) {
      versions[service] = [...observed.keys()].sort();
    }
    return { versions, isComplete: this.#isComplete };
  }
}
