import type { SoakUpstream } from "./soak_upstream.ts";
import { StreamChecks } from "./stream_checks.ts";

const ENTRY = "10.0.0.1:80";

type FakeUpstream = {
  readonly isReady: boolean;
  isListening: boolean;
  readonly takesResumedStreams: () => boolean;
};

const READY = {
  isReady: true,
  isListening: true,
  takesResumedStreams: () => true,
};
const DRAINING = { ...READY, isReady: false };
const DRAINED = { ...DRAINING, takesResumedStreams: () => false };

/**
 * Plays twelve resumed streams, while all new ones begin.
 *
 * @param upstreams Those of the version when a stream is resumed.
 * @param haveCrashed Whether they crash before the attempt ends.
 */
function resume(
  { wentOn, upstreams, haveCrashed = false, isUndisturbed = true }: {
    wentOn: number;
    upstreams: readonly FakeUpstream[];
    haveCrashed?: boolean;
    isUndisturbed?: boolean;
  },
): string[] {
  const findings: string[] = [];
  let listed: FakeUpstream[] = [];
  const checks = new StreamChecks({
    wasEntryUndisturbed: () => isUndisturbed,
    listUpstreams: () => listed as unknown as readonly SoakUpstream[],
    resumableTime: 1000,
    report: (_, text) => findings.push(text),
  });
  for (let count = 0; count < 12; count += 1) {
    listed = upstreams.map((upstream) => ({ ...upstream }));
    checks.recordBegin({ entry: ENTRY, hasBegun: true });
    const end = checks.beginResume({ entry: ENTRY, version: "v1" });
    for (const upstream of listed) {
      upstream.isListening = !haveCrashed;
    }
    end({ wentOn: count < wentOn });
  }
  checks.finish();
  return findings;
}

test("resumed streams that are refused while their version serves are reported", () => {
  expect(resume({ wentOn: 5, upstreams: [READY, READY] })).toEqual([
    "5 of 12 resumed streams went on while two upstreams of their version " +
    "served, while 12 of 12 began",
  ]);
  expect(resume({ wentOn: 6, upstreams: [READY, READY] })).toEqual([]);
});

test("resumed streams must go on at the last upstreams of their version", () => {
  const last = [
    "5 of 12 resumed streams went on while the last upstreams of their " +
    "version served, while 12 of 12 began",
  ];
  expect(resume({ wentOn: 5, upstreams: [READY] })).toEqual(last);
  expect(resume({ wentOn: 5, upstreams: [DRAINING, DRAINED] })).toEqual(last);
  expect(resume({ wentOn: 6, upstreams: [DRAINING] })).toEqual([]);
});

test("streams that no upstream may go on with aren't counted", () => {
  expect(resume({ wentOn: 0, upstreams: [DRAINED] })).toEqual([]);
  expect(resume({ wentOn: 0, upstreams: [DRAINING], haveCrashed: true }))
    .toEqual([]);
  expect(
    resume({ wentOn: 0, upstreams: [READY, READY], isUndisturbed: false }),
  ).toEqual([]);
});
